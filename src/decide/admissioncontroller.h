#pragma once

#include "board/blackboard.h"
#include "core/errorkind.h"
#include "core/time.h"

#include <vector>

namespace figpulley::decide
{
/// Admission decision for an arriving call.
enum class Admission : std::uint8_t {
    Run,
    Wait,
    Refuse,
};

/// A call that leaves the queue, either to run or with a refusal.
struct QueueRelease
{
    core::EntryId entry {};
    core::ErrorKind refusal = core::ErrorKind::None; ///< None if the call runs now
};

/// Result of one arrival.
struct AdmissionResult
{
    Admission admission = Admission::Refuse;
    std::vector<QueueRelease> released; ///< queued calls that this call displaced
};

/// Result of a call that ran, as input of the concurrency limit.
struct RunResult
{
    core::Duration latency {}; ///< time of the call without its nested calls
    bool isSample = true; ///< whether the latency is used; false if the call did not complete
    bool isOverloadResponse = false; ///< whether the upstream responded that it sheds load
};

/// Parameters that bound the wait of queued calls.
struct QueueLimits
{
    core::Duration queueDelay {}; ///< maximum wait at the lowest priority level
    std::uint32_t levels = 1; ///< number of priority levels in the active configuration
    core::TimePoint now {};
};

/// Admits calls at the ingress with an adaptive concurrency limit and a queue ordered by rank, and computes the threshold that
/// responses report to callers.
class AdmissionController
{
public:
    /// Admits, queues or refuses an arriving call.
    [[nodiscard]] AdmissionResult handleArrival(board::Blackboard &board, const board::QueuedCall &call) const;

    /// Records the end of a running call and releases queued calls into the free slot.
    /// @returns queued calls that run or are refused now
    [[nodiscard]] std::vector<QueueRelease> handleCompletion(board::Blackboard &board, const RunResult &result, core::TimePoint now) const;

    /// Removes a queued call after its caller disconnected.
    /// @returns whether the call was in the queue
    bool removeQueued(board::Blackboard &board, core::EntryId entry, core::Rank rank) const;

    /// Closes control windows, drops expired calls and releases queued ones. Must be called every few milliseconds.
    /// @returns queued calls that run or are refused now
    [[nodiscard]] std::vector<QueueRelease> tick(board::Blackboard &board, core::TimePoint now) const;

private:
    void accumulateTimes(board::AdmissionState &state, core::TimePoint now) const;
    void popRunnable(board::AdmissionState &state, const QueueLimits &limits, std::vector<QueueRelease> &released) const;
    void dropExpired(board::AdmissionState &state, const QueueLimits &limits, std::vector<QueueRelease> &released) const;
    void closeLimitWindow(board::AdmissionState &state, const config::ServicePolicy &policy, core::TimePoint now) const;
    void closeThresholdWindow(board::AdmissionState &state, core::TimePoint now) const;
};

/// Returns the policy of the service whose VM this node runs on.
[[nodiscard]] const config::ServicePolicy &localServicePolicy(const board::Blackboard &board) noexcept;
} // namespace figpulley::decide
