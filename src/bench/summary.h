#pragma once

#include "bench/experiment.h"

#include <string>

namespace figpulley::bench
{
/// Computes a report's figures from the records of all calls.
void summarize(ExperimentReport &report, const Deployment &deployment, const std::vector<CallRecord> &records, const standin::RunLog &log);

/// Writes a report as one JSON object on one line.
[[nodiscard]] std::string toJson(const ExperimentReport &report);

/// Draws goodput over time by priority as an SVG picture.
[[nodiscard]] std::string toSvg(const ExperimentReport &report);
} // namespace figpulley::bench
