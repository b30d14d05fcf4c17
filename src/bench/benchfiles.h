#pragma once

#include "bench/deployment.h"
#include "bench/experimentoptions.h"
#include "config/sourcefile.h"

#include <vector>

namespace figpulley::bench
{
/// Makes the configuration files that an operator would apply for an experiment's deployment and control mode.
[[nodiscard]] std::vector<config::SourceFile> makeBenchFiles(const Deployment &deployment, const ExperimentOptions &options);
} // namespace figpulley::bench
