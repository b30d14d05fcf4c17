#pragma once

#include "board/blackboard.h"
#include "core/errorkind.h"
#include "core/time.h"

#include <vector>

namespace figpulley::decide
{
/// What happens to a call that asks for admission.
enum class Admission : std::uint8_t {
    Run,
    Wait,
    Refuse,
};

/// A waiting call whose turn has come, or that is refused.
struct QueueRelease
{
    core::EntryId entry {};
    core::ErrorKind refusal = core::ErrorKind::None; ///< None: run it now
};

/// The answer to one arrival.
struct AdmissionResult
{
    Admission admission = Admission::Refuse;
    std::vector<QueueRelease> released; ///< other calls that lost their place to this one
};

/// How a call that ran ended, as the limit sees it.
struct RunResult
{
    core::Duration latency {}; ///< without nested calls
    bool isSample = true; ///< false if cancelled, so that its latency says nothing
    bool isOverloadAnswer = false; ///< the upstream said that it sheds load
};

/// By what a waiting call is judged.
struct QueueRules
{
    core::Duration queueDelay {}; ///< longest wait of the lowest level
    std::uint32_t levels = 1; ///< of the priorities in force
    core::TimePoint now {};
};

/// Admits calls at the ingress: an adaptive concurrency limit, a queue ordered by rank, and the threshold published to callers.
class AdmissionController
{
public:
    /// A new call asks to run.
    [[nodiscard]] AdmissionResult offer(board::Blackboard &board, const board::QueuedCall &call) const;

    /// A running call has ended.
    /// @returns waiting calls that run or are refused now
    [[nodiscard]] std::vector<QueueRelease> finish(board::Blackboard &board, const RunResult &result, core::TimePoint now) const;

    /// Removes a waiting call whose caller went away.
    /// @returns whether it was waiting
    bool abandon(board::Blackboard &board, core::EntryId entry, core::Rank rank) const;

    /// Closes control windows, drops expired calls and starts waiting ones; call it every few milliseconds.
    [[nodiscard]] std::vector<QueueRelease> tick(board::Blackboard &board, core::TimePoint now) const;

private:
    void account(board::AdmissionState &state, core::TimePoint now) const;
    void popRunnable(board::AdmissionState &state, const QueueRules &rules, std::vector<QueueRelease> &released) const;
    void dropExpired(board::AdmissionState &state, const QueueRules &rules, std::vector<QueueRelease> &released) const;
    void closeLimitWindow(board::AdmissionState &state, const config::ServicePolicy &policy, core::TimePoint now) const;
    void closeThresholdWindow(board::AdmissionState &state, core::TimePoint now) const;
};

/// Policy of the service that the node stands beside.
[[nodiscard]] const config::ServicePolicy &ownPolicy(const board::Blackboard &board) noexcept;
} // namespace figpulley::decide
