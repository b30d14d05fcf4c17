#pragma once

#include "bench/experimentoptions.h"
#include "bench/loadgenerator.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace figpulley::bench
{
/// Counts of the root calls of one priority, by their result.
struct PriorityReport
{
    std::string name;
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
    std::uint64_t shed = 0;
    std::uint64_t failed = 0;
};

/// Good calls per second of one priority over time.
struct GoodputSeries
{
    std::string name;
    std::vector<double> perSecond; ///< one value for each bucket of time
};

/// The results of one experiment.
struct ExperimentReport
{
    ExperimentOptions options;
    std::uint64_t offered = 0; ///< root calls during the whole experiment
    double capacity = 0; ///< calls per second that the deep service can process during the disturbance
    /// Good calls through the deep service during the disturbance, divided by the smaller of demand and capacity.
    double goodputRatio = 0;
    /// Time from the end of the disturbance until goodput is at least 95% of demand; -1 if it stays below.
    double recoverySeconds = 0;
    std::vector<PriorityReport> priorities; ///< counts during the disturbance, in the order of shedding
    double attemptsMean = 0; ///< attempts per root call
    int attemptsMax = 0; ///< attempts of the root call that needed most
    double wastedWorkRatio = 0; ///< slot time spent on calls that were not good, divided by all slot time
    std::uint64_t nonIdempotentRepeats = 0; ///< non-idempotent root calls that ran more than once
    std::uint64_t notRunButRan = 0; ///< root calls that ran although every response reported that they did not
    std::uint64_t foreignResponses = 0; ///< root calls whose response was cut short or belongs to another call
    double directP99Us = 0; ///< latency of a direct call to an upstream
    double addedP50Us = 0; ///< latency that two nodes on the path add to a direct call
    double addedP99Us = 0;
    double controlBytesPerNodeSecond = 0;
    double bucketSeconds = 0;
    std::vector<GoodputSeries> series;

    /// Whether no run was repeated unsafely, no call ran that was reported as not run, and no response was cut short or foreign.
    [[nodiscard]] bool invariantsHold() const noexcept;
};

/// Runs one experiment.
/// @throws std::runtime_error if the deployment is unknown or the testbed does not become ready
[[nodiscard]] ExperimentReport runExperiment(const ExperimentOptions &options);
} // namespace figpulley::bench
