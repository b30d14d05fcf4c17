#pragma once

#include "bench/deployment.h"
#include "bench/experimentoptions.h"
#include "config/sourcefile.h"

#include <vector>

namespace figpulley::bench
{
/// Writes the operators' files of an experiment, for its deployment and control mode.
[[nodiscard]] std::vector<config::SourceFile> benchFiles(const Deployment &deployment, const ExperimentOptions &options);
} // namespace figpulley::bench
