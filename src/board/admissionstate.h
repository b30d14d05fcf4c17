#pragma once

#include "core/ids.h"
#include "core/rank.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>

namespace figpulley::board
{
/// Buckets of the rank histogram; fine enough for a threshold within 1/256 of a level.
inline constexpr std::size_t rankBuckets = 2048;
inline constexpr std::uint32_t ranksPerBucket = core::Rank::end / rankBuckets;
static_assert(ranksPerBucket * rankBuckets == core::Rank::end);

/// What the limit algorithms remember between windows; each uses the fields it needs.
struct LimitState
{
    double limit = 0; ///< calls that may run at once; 0 before the first use
    double baseline = 0; ///< latency without queueing, in seconds; 0 if unknown
    double lastLatency = 0; ///< mean latency of the window before, in seconds
    double lastConcurrency = 0; ///< mean concurrency of the window before
    double integral = 0; ///< of the PID error
    double lastError = 0; ///< of the PID
    double limitBeforeProbe = 0; ///< 0 unless a probe is running
    int windowsSinceProbe = 0;
    int settleWindows = 0; ///< windows to skip while calls from before a change complete
};

/// What happened in the present control window.
struct WindowCounts
{
    core::TimePoint since {};
    std::uint32_t completed = 0;
    std::uint32_t overloadAnswers = 0; ///< upstream answers that say it sheds load
    double latencySum = 0; ///< of completed calls, without nested calls, in seconds
    double concurrencyTime = 0; ///< integral of running calls over time, in call seconds
    double saturatedTime = 0; ///< time in which the limit or the queue held calls back, in seconds
    core::TimePoint lastChange {};
};

/// What the threshold is computed from; the counts decay, so that each is a moving sum.
struct ThresholdCounts
{
    core::TimePoint since {};
    std::array<float, rankBuckets> arrivals {}; ///< by rank
    float started = 0;
    std::uint32_t refused = 0; ///< in the present window only
    double saturatedTime = 0; ///< in the present window only, in seconds
};

/// Key in the queue: the highest rank first, and the earliest arrival within a rank.
struct QueueKey
{
    std::uint32_t inverseRank = 0;
    std::uint64_t sequence = 0;

    [[nodiscard]] auto operator<=>(const QueueKey &) const noexcept = default;
};

/// A call that waits for its turn.
struct QueuedCall
{
    core::EntryId entry {};
    core::Rank rank;
    core::TimePoint arrived {};
    core::TimePoint deadline {};
};

/// Admission at this node's ingress. Writer: AdmissionController.
struct AdmissionState
{
    LimitState limit;
    WindowCounts window;
    int running = 0;
    std::map<QueueKey, QueuedCall> queue;
    std::uint64_t nextSequence = 0;
    ThresholdCounts counts;
    core::Rank threshold; ///< published: calls below it are likely to be refused
    std::uint32_t descent = 0; ///< step by which the threshold falls next, in ranks
    std::uint64_t totalStarted = 0;
    std::uint64_t totalRefused = 0;
};
} // namespace figpulley::board
