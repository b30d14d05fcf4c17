#include "decide/ingresscontroller.h"

#include <algorithm>

namespace figpulley::decide
{
namespace
{
using board::Blackboard;
using core::CallOutcome;
using core::EntryId;
using core::ErrorKind;
using core::TimePoint;

constexpr int httpServiceUnavailable = 503;
} // namespace

// Checks whether an attempt may run. A refused attempt has not reached the upstream, but an earlier copy of it may have run.
ErrorKind IngressController::checkAttempt(Blackboard &board, const core::CallEnvelope &envelope, TimePoint now) const
{
    if (board.drain.read().isLeaving()) {
        return ErrorKind::Draining;
    }
    if (envelope.remaining.count() <= 0) {
        return ErrorKind::DeadlineExpired;
    }
    if (envelope.isIdempotent) {
        return ErrorKind::None;
    }
    if (envelope.target != board.identity.incarnation) {
        return ErrorKind::StaleIncarnation;
    }
    switch (this->attempts.recordAttempt(board, envelope.attempt, now + envelope.remaining, now)) {
    case AttemptRecordResult::New:
        return ErrorKind::None;
    case AttemptRecordResult::Duplicate:
        return ErrorKind::DuplicateAttempt;
    case AttemptRecordResult::Full:
        return ErrorKind::AttemptTableFull;
    }
    return ErrorKind::Internal;
}

std::vector<IngressAction> IngressController::handleArrival(Blackboard &board, const IngressArrival &arrival, TimePoint now) const
{
    this->ledger.open(board, arrival.entry, arrival.envelope, arrival.traceLow, now);
    const auto attemptError = this->checkAttempt(board, arrival.envelope, now);
    if (attemptError != ErrorKind::None) {
        return {{arrival.entry, Admission::Refuse, attemptError}};
    }
    const board::QueuedCall call {
        .entry = arrival.entry,
        .rank = arrival.envelope.rank,
        .arrived = now,
        .deadline = now + arrival.envelope.remaining,
    };
    const auto result = this->admission.handleArrival(board, call);
    const auto refusal = result.admission == Admission::Refuse ? ErrorKind::Overloaded : ErrorKind::None;
    std::vector<IngressAction> actions {{arrival.entry, result.admission, refusal}};
    if (result.admission == Admission::Run) {
        this->ledger.markRunning(board, arrival.entry);
    }
    const auto releasedActions = this->toActions(board, result.released);
    actions.insert(actions.end(), releasedActions.begin(), releasedActions.end());
    return actions;
}

std::vector<IngressAction> IngressController::toActions(Blackboard &board, const std::vector<QueueRelease> &released) const
{
    std::vector<IngressAction> actions;
    actions.reserve(released.size());
    for (const auto &release : released) {
        const bool isRun = release.refusal == ErrorKind::None;
        if (isRun) {
            this->ledger.markRunning(board, release.entry);
        }
        actions.push_back({release.entry, isRun ? Admission::Run : Admission::Refuse, release.refusal});
    }
    return actions;
}

std::vector<IngressAction> IngressController::handleCompletion(Blackboard &board, EntryId entry, const UpstreamResult &result,
                                                               TimePoint now, CallOutcome &outcome) const
{
    const auto *found = this->ledger.find(board, entry);
    RunResult run;
    run.isSample = result.kind == ErrorKind::None;
    outcome.kind = result.kind;
    outcome.ran = core::errorProperties(result.kind).ran;
    outcome.threshold = board.admission.read().threshold;
    if (found != nullptr) {
        run.latency = Ledger::selfTime(*found, result.started, now);
        outcome.threshold = std::max(outcome.threshold, found->nestedThreshold);
        // A 503 that follows the refusal of a nested call does not mean that this upstream is overloaded.
        const bool isOwnOverload = result.httpStatus == httpServiceUnavailable && !found->hasNestedRefusal;
        run.isOverloadResponse = isOwnOverload;
        outcome.isRetryWorthwhile = isOwnOverload || (result.kind != ErrorKind::None && core::errorProperties(result.kind).isRetryable);
    }
    auto released = this->admission.handleCompletion(board, run, now);
    outcome.retriesSpent = this->ledger.close(board, entry);
    return this->toActions(board, released);
}

CallOutcome IngressController::beginResponse(Blackboard &board, EntryId entry) const
{
    CallOutcome outcome;
    outcome.threshold = board.admission.read().threshold;
    outcome.retriesSpent = this->ledger.freezeBudget(board, entry);
    return outcome;
}

CallOutcome IngressController::refuse(Blackboard &board, EntryId entry, ErrorKind kind) const
{
    CallOutcome outcome;
    outcome.kind = kind;
    outcome.ran = core::errorProperties(kind).ran;
    outcome.threshold = board.admission.read().threshold;
    outcome.isRetryWorthwhile = core::errorProperties(kind).isRetryable;
    outcome.retriesSpent = this->ledger.close(board, entry);
    return outcome;
}

void IngressController::cancelQueued(Blackboard &board, EntryId entry) const
{
    const auto *found = this->ledger.find(board, entry);
    if (found == nullptr) {
        return;
    }
    this->admission.removeQueued(board, entry, found->envelope.rank);
    this->ledger.close(board, entry);
}

std::vector<IngressAction> IngressController::tick(Blackboard &board, TimePoint now) const
{
    return this->toActions(board, this->admission.tick(board, now));
}
} // namespace figpulley::decide
