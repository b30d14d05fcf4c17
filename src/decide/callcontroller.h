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
/// Leads each call of the egress from its arrival to its answer: route, priority, deadline, endpoint, retries.
///
/// Example:
/// ```
/// auto step = controller.begin(board, id, request, now, random);
/// while (const auto *send = std::get_if<SendAttempt>(&step)) {
///     step = controller.attemptEnded(board, id, transport(*send), random);
/// }
/// ```
class CallController
{
public:
    /// A call has arrived.
    [[nodiscard]] CallStep begin(board::Blackboard &board, core::CallId id, const CallRequest &request, core::TimePoint now,
                                 core::Random &random) const;

    /// The attempt in flight has ended.
    [[nodiscard]] CallStep attemptEnded(board::Blackboard &board, core::CallId id, const AttemptResult &result, core::Random &random) const;

    /// The wait before a retry is over.
    [[nodiscard]] CallStep retryDue(board::Blackboard &board, core::CallId id, core::TimePoint now, core::Random &random) const;

    /// The caller went away, or the deadline passed; what was lent counts as spent.
    /// @returns what is known of the call
    [[nodiscard]] core::CallOutcome abandon(board::Blackboard &board, core::CallId id, core::ErrorKind kind, core::TimePoint now) const;

private:
    [[nodiscard]] CallStep send(board::Blackboard &board, core::CallId id, core::TimePoint now, core::Random &random) const;
    [[nodiscard]] CallStep finish(board::Blackboard &board, core::CallId id, core::CallOutcome outcome, core::TimePoint now) const;
    [[nodiscard]] bool mayRetry(board::Blackboard &board, const board::CallState &call, core::ErrorKind kind,
                                const core::CallOutcome &outcome, core::TimePoint now) const;
    [[nodiscard]] std::optional<board::CallState> admitRoot(const board::Blackboard &board, const CallRequest &request, core::TimePoint now,
                                                            core::Random &random) const;
    [[nodiscard]] board::CallState adoptNested(const board::Blackboard &board, const CallRequest &request, const board::LedgerEntry &entry,
                                               core::EntryId parent) const;
    [[nodiscard]] std::optional<core::EntryId> findParent(const board::Blackboard &board, const CallRequest &request) const;
    void settle(board::Blackboard &board, board::CallState &call, const std::optional<core::CallOutcome> &outcome) const;
    [[nodiscard]] bool drawRetry(board::Blackboard &board, board::CallState &call) const;
    [[nodiscard]] int lend(board::Blackboard &board, board::CallState &call) const;

    EarlyShedder shedder;
    EndpointChooser chooser;
    Ledger ledger;
    RetryController retries;
};
} // namespace figpulley::decide
