#pragma once

#include "board/blackboard.h"
#include "decide/admissioncontroller.h"
#include "decide/attempttable.h"
#include "decide/ledger.h"

#include <vector>

namespace figpulley::decide
{
/// A call as it reaches the ingress from another node.
struct IngressArrival
{
    core::EntryId entry {};
    core::CallEnvelope envelope;
    std::uint64_t traceLow = 0;
};

/// What to do with a call at the ingress.
struct IngressAction
{
    core::EntryId entry {};
    Admission admission = Admission::Refuse;
    core::ErrorKind refusal = core::ErrorKind::None;
};

/// How a call that was handed to the upstream ended.
struct UpstreamResult
{
    core::ErrorKind kind = core::ErrorKind::None; ///< None if the upstream answered in whole
    int httpStatus = 0;
    core::TimePoint started {};
};

/// Leads each call of the ingress: trust in the attempt, admission, the upstream's run, and the report to the caller.
class IngressController
{
public:
    /// A call has arrived.
    /// @returns what to do with it, first, and with calls that lost their place to it
    [[nodiscard]] std::vector<IngressAction> offer(board::Blackboard &board, const IngressArrival &arrival, core::TimePoint now) const;

    /// A call that ran has ended.
    /// @param outcome receives the report for the caller
    /// @returns waiting calls whose turn has come
    [[nodiscard]] std::vector<IngressAction> finish(board::Blackboard &board, core::EntryId entry, const UpstreamResult &result,
                                                    core::TimePoint now, core::CallOutcome &outcome) const;

    /// A large answer of a call begins to pass before the call has ended; builds the report for the caller.
    [[nodiscard]] core::CallOutcome beginAnswer(board::Blackboard &board, core::EntryId entry) const;

    /// A call ended without having run; builds the report for the caller.
    [[nodiscard]] core::CallOutcome refuse(board::Blackboard &board, core::EntryId entry, core::ErrorKind kind) const;

    /// The caller of a waiting call went away.
    void cancelWaiting(board::Blackboard &board, core::EntryId entry) const;

    /// Periodic work; call it every few milliseconds.
    [[nodiscard]] std::vector<IngressAction> tick(board::Blackboard &board, core::TimePoint now) const;

private:
    [[nodiscard]] core::ErrorKind checkAttempt(board::Blackboard &board, const core::CallEnvelope &envelope, core::TimePoint now) const;
    [[nodiscard]] std::vector<IngressAction> toActions(board::Blackboard &board, const std::vector<QueueRelease> &released) const;

    AdmissionController admission;
    AttemptTable attempts;
    Ledger ledger;
};
} // namespace figpulley::decide
