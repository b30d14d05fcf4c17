#pragma once

#include "board/blackboard.h"
#include "core/random.h"
#include "decide/callstep.h"
#include "decide/earlyshedder.h"
#include "decide/endpointchooser.h"
#include "decide/ledger.h"
#include "decide/retrycontroller.h"

namespace figpulley::decide
{
/// Runs the state machine of each egress call from its arrival to its response: route, priority, deadline, endpoint and retries.
///
/// Example:
/// ```
/// auto step = controller.begin(board, id, request, now, random);
/// while (const auto *send = std::get_if<SendAttempt>(&step)) {
///     step = controller.handleAttemptResult(board, id, transport(*send), random);
/// }
/// ```
class CallController
{
public:
    /// Starts a call.
    /// @returns the next step for the caller to carry out
    [[nodiscard]] CallStep begin(board::Blackboard &board, core::CallId id, const CallRequest &request, core::TimePoint now,
                                 core::Random &random) const;

    /// Processes the result of the attempt in flight.
    [[nodiscard]] CallStep handleAttemptResult(board::Blackboard &board, core::CallId id, const AttemptResult &result,
                                               core::Random &random) const;

    /// Continues a call after its wait before a retry.
    [[nodiscard]] CallStep resumeAfterWait(board::Blackboard &board, core::CallId id, core::TimePoint now, core::Random &random) const;

    /// Ends a call because its caller disconnected or its deadline passed. The retry budget lent to the attempt in flight counts as
    /// spent.
    /// @returns the outcome as far as it is known
    [[nodiscard]] core::CallOutcome cancel(board::Blackboard &board, core::CallId id, core::ErrorKind kind, core::TimePoint now) const;

private:
    [[nodiscard]] CallStep send(board::Blackboard &board, core::CallId id, core::TimePoint now, core::Random &random) const;
    [[nodiscard]] CallStep finish(board::Blackboard &board, core::CallId id, core::CallOutcome outcome, core::TimePoint now) const;
    [[nodiscard]] bool mayRetry(board::Blackboard &board, const board::CallState &call, core::ErrorKind kind,
                                const core::CallOutcome &outcome, core::TimePoint now) const;
    [[nodiscard]] std::optional<board::CallState> createRootCall(const board::Blackboard &board, const CallRequest &request,
                                                                 core::TimePoint now, core::Random &random) const;
    [[nodiscard]] board::CallState createNestedCall(const board::Blackboard &board, const CallRequest &request,
                                                    const board::LedgerEntry &entry, core::EntryId parent) const;
    [[nodiscard]] std::optional<core::EntryId> findParent(const board::Blackboard &board, const CallRequest &request) const;
    void settleBudget(board::Blackboard &board, board::CallState &call, const std::optional<core::CallOutcome> &outcome) const;
    [[nodiscard]] bool spendRetry(board::Blackboard &board, board::CallState &call) const;
    [[nodiscard]] int lendBudget(board::Blackboard &board, board::CallState &call) const;

    EarlyShedder shedder;
    EndpointChooser chooser;
    Ledger ledger;
    RetryController retries;
};
} // namespace figpulley::decide
