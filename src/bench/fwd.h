#pragma once

/// Forward declarations of the experiments.
namespace figpulley::bench
{
class LoadGenerator;
class Testbed;
struct Deployment;
struct ExperimentOptions;
struct ExperimentReport;
} // namespace figpulley::bench
