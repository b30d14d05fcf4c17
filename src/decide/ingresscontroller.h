#pragma once

#include "board/blackboard.h"
#include "decide/admissioncontroller.h"
#include "decide/attempttable.h"
#include "decide/ledger.h"

#include <vector>

namespace figpulley::decide
{
/// A call that arrives at the ingress from another node.
struct IngressArrival
{
    core::EntryId entry {};
    core::CallEnvelope envelope;
    std::uint64_t traceLow = 0;
};

/// Action for the ingress proxy to carry out on a call.
struct IngressAction
{
    core::EntryId entry {};
    Admission admission = Admission::Refuse;
    core::ErrorKind refusal = core::ErrorKind::None;
};

/// Result of a call that was handed to the upstream.
struct UpstreamResult
{
    core::ErrorKind kind = core::ErrorKind::None; ///< None if the upstream's response is complete
    int httpStatus = 0;
    core::TimePoint started {};
};

/// Runs the state machine of each ingress call: check of the attempt, admission, the run at the upstream and the report to the caller.
class IngressController
{
public:
    /// Processes an arriving call.
    /// @returns the action for this call first, then those for the queued calls that it displaced
    [[nodiscard]] std::vector<IngressAction> handleArrival(board::Blackboard &board, const IngressArrival &arrival,
                                                           core::TimePoint now) const;

    /// Processes the end of a call that ran.
    /// @param outcome receives the report for the caller
    /// @returns actions for queued calls that run or are refused now
    [[nodiscard]] std::vector<IngressAction> handleCompletion(board::Blackboard &board, core::EntryId entry, const UpstreamResult &result,
                                                              core::TimePoint now, core::CallOutcome &outcome) const;

    /// Builds the report for the caller of a large response, which is forwarded before the call has ended.
    [[nodiscard]] core::CallOutcome beginResponse(board::Blackboard &board, core::EntryId entry) const;

    /// Closes a call that did not run, and builds the report for its caller.
    [[nodiscard]] core::CallOutcome refuse(board::Blackboard &board, core::EntryId entry, core::ErrorKind kind) const;

    /// Removes a queued call after its caller disconnected.
    void cancelQueued(board::Blackboard &board, core::EntryId entry) const;

    /// Performs the periodic work of admission control. Must be called every few milliseconds.
    /// @returns actions for queued calls that run or are refused now
    [[nodiscard]] std::vector<IngressAction> tick(board::Blackboard &board, core::TimePoint now) const;

private:
    [[nodiscard]] core::ErrorKind checkAttempt(board::Blackboard &board, const core::CallEnvelope &envelope, core::TimePoint now) const;
    [[nodiscard]] std::vector<IngressAction> toActions(board::Blackboard &board, const std::vector<QueueRelease> &released) const;

    AdmissionController admission;
    AttemptTable attempts;
    Ledger ledger;
};
} // namespace figpulley::decide
