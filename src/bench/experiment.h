#pragma once

#include "bench/experimentoptions.h"
#include "bench/loadgenerator.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace figpulley::bench
{
/// What became of the calls of one priority.
struct PriorityReport
{
    std::string name;
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
    std::uint64_t shed = 0;
    std::uint64_t failed = 0;
};

/// Good calls per second of each priority over time.
struct GoodputSeries
{
    std::string name;
    std::vector<double> perSecond; ///< one value per bucket
};

/// What one experiment measured.
struct ExperimentReport
{
    ExperimentOptions options;
    std::uint64_t offered = 0;
    double capacity = 0; ///< calls per second of the deep service, while disturbed
    double goodputRatio = 0; ///< during the disturbance: good calls through the deep service over the smaller of demand and capacity
    double recoverySeconds = 0; ///< from the end of the disturbance until goodput is 95% of demand again; -1: not reached
    std::vector<PriorityReport> priorities; ///< during the disturbance, in the order of shedding
    double attemptsMean = 0; ///< per root call
    int attemptsMax = 0;
    double wastedWorkRatio = 0; ///< slot time spent for calls that were not good, over all slot time
    std::uint64_t nonIdempotentRepeats = 0;
    std::uint64_t notRunButRan = 0;
    std::uint64_t foreignAnswers = 0;
    double directP99Us = 0; ///< of a call straight to an upstream
    double addedP50Us = 0;
    double addedP99Us = 0; ///< by two nodes on the way, against the direct call
    double controlBytesPerNodeSecond = 0;
    double bucketSeconds = 0;
    std::vector<GoodputSeries> series;

    /// Whether nothing happened that must never happen.
    [[nodiscard]] bool isSafe() const noexcept;
};

/// Runs one experiment.
/// @throws std::runtime_error if the testbed does not come up
[[nodiscard]] ExperimentReport runExperiment(const ExperimentOptions &options);
} // namespace figpulley::bench
