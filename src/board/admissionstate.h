#pragma once

#include "core/ids.h"
#include "core/rank.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>

namespace figpulley::board
{
/// Number of buckets of the rank histogram; resolves a threshold to 1/256 of a level.
inline constexpr std::size_t rankBuckets = 2048;
inline constexpr std::uint32_t ranksPerBucket = core::Rank::end / rankBuckets;
static_assert(ranksPerBucket * rankBuckets == core::Rank::end);

/// State that the limit algorithms keep between control windows. Each algorithm uses a subset of the fields.
struct LimitState
{
    double limit = 0; ///< maximum number of concurrent calls; 0 before the first use
    double baseline = 0; ///< latency without queueing, in seconds; 0 if unknown
    double lastLatency = 0; ///< mean latency of the window before the latest probe, in seconds
    double lastConcurrency = 0; ///< mean concurrency of the window before the latest probe, at least 1
    double integral = 0; ///< integral of the PID controller's error
    double lastError = 0; ///< error of the PID controller in the previous window
    double limitBeforeProbe = 0; ///< limit before the running probe; 0 if no probe is running
    int windowsSinceProbe = 0;
    int windowsToSkip = 0; ///< windows to skip while calls from before a change complete
};

/// Measurements of the current control window.
struct WindowCounts
{
    core::TimePoint since {};
    std::uint32_t completed = 0;
    std::uint32_t overloadResponses = 0; ///< upstream responses that report load shedding
    double latencySum = 0; ///< total latency of completed calls without their nested calls, in seconds
    double concurrencyTime = 0; ///< integral of the number of running calls over time, in call seconds
    double saturatedTime = 0; ///< time in which the number of running calls was at the limit or above, in seconds
    core::TimePoint lastChange {}; ///< time up to which concurrencyTime and saturatedTime are integrated
};

/// Inputs of the threshold computation. The counts decay exponentially unless stated otherwise.
struct ThresholdCounts
{
    core::TimePoint since {};
    std::array<float, rankBuckets> arrivals {}; ///< arriving calls by rank bucket
    float started = 0;
    std::uint32_t refused = 0; ///< refused calls in the current window
    double saturatedTime = 0; ///< saturated time in the current window, in seconds
};

/// Sort key of a queued call: highest rank first, then earliest arrival.
struct QueueKey
{
    std::uint32_t inverseRank = 0;
    std::uint64_t sequence = 0;

    [[nodiscard]] auto operator<=>(const QueueKey &) const noexcept = default;
};

/// A call that waits for admission.
struct QueuedCall
{
    core::EntryId entry {};
    core::Rank rank;
    core::TimePoint arrived {};
    core::TimePoint deadline {};
};

/// State of the admission control at this node's ingress. Writer: AdmissionController.
struct AdmissionState
{
    LimitState limit;
    WindowCounts window;
    int running = 0;
    std::map<QueueKey, QueuedCall> queue;
    std::uint64_t nextSequence = 0;
    ThresholdCounts counts;
    core::Rank threshold; ///< published rank below which calls are likely to be refused
    std::uint32_t thresholdStep = 0; ///< step by which the threshold is lowered next, in ranks
    std::uint64_t totalStarted = 0;
    std::uint64_t totalRefused = 0;
};
} // namespace figpulley::board
