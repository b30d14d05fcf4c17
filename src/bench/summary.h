#pragma once

#include "bench/experiment.h"

#include <string>

namespace figpulley::bench
{
/// Computes the figures of a report from the records of all root calls and the runs at the upstreams.
void summarize(ExperimentReport &report, const Deployment &deployment, const std::vector<CallRecord> &records, const standin::RunLog &log);

/// Encodes a report as a JSON object on one line.
[[nodiscard]] std::string toJson(const ExperimentReport &report);

/// Draws the goodput of each priority over time as an SVG image.
[[nodiscard]] std::string toSvg(const ExperimentReport &report);
} // namespace figpulley::bench
