#include "decide/callcontroller.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace figpulley::decide
{
namespace
{
using namespace std::chrono_literals;
using board::Blackboard;
using board::CallState;
using core::CallId;
using core::CallOutcome;
using core::Duration;
using core::ErrorKind;
using core::Ran;
using core::TimePoint;

constexpr Duration hopDeadlineMargin = 500us; // subtracted on each hop, so that the callee times out before its caller
constexpr Duration minRemainingTime = 1ms;
constexpr std::array<std::string_view, 3> safeMethods {"GET", "HEAD", "OPTIONS"};

bool isSafeMethod(std::string_view method)
{
    return std::find(safeMethods.begin(), safeMethods.end(), method) != safeMethods.end();
}

CallOutcome refusalOutcome(ErrorKind kind)
{
    CallOutcome outcome;
    outcome.kind = kind;
    outcome.ran = core::errorProperties(kind).ran;
    return outcome;
}

int remainingBudget(const Blackboard &board, const CallState &call)
{
    if (!call.parent) {
        return call.ownRetryBudget;
    }
    const auto &entries = board.ledger.read().entries;
    const auto found = entries.find(core::value(*call.parent));
    return found == entries.end() ? 0 : found->second.retriesLeft;
}

CallState &stateOf(board::CallTable &table, CallId id)
{
    return table.calls.at(core::value(id));
}

void applyTimeout(CallState &call, const CallRequest &request, TimePoint now)
{
    if (request.timeout) {
        call.deadline = std::min(call.deadline, now + *request.timeout);
    }
}
} // namespace

std::optional<core::EntryId> CallController::findParent(const Blackboard &board, const CallRequest &request) const
{
    if (!request.isNested) {
        return std::nullopt;
    }
    if (request.parent && this->ledger.find(board, *request.parent) != nullptr) {
        return request.parent;
    }
    return this->ledger.findByTrace(board, request.traceLow);
}

// Creates the state of a root call, or of a nested call whose parent is unknown. The latter gets no retries, since the budget of its
// root call is unknown too.
std::optional<CallState> CallController::createRootCall(const Blackboard &board, const CallRequest &request, TimePoint now,
                                                        core::Random &random) const
{
    const auto &configuration = *board.config.read().current;
    const auto *route = configuration.priorities.match(request.service, request.method, request.path);
    if (route == nullptr && !request.isNested) {
        return std::nullopt;
    }
    CallState call;
    call.service = request.service;
    call.root = random();
    call.isNested = request.isNested;
    call.isIdempotent = route != nullptr ? route->isIdempotent : isSafeMethod(request.method);
    call.route = route != nullptr ? route->name : request.service;
    call.rank = core::Rank::of(route != nullptr ? route->level : 0, request.user);
    const auto limit = route != nullptr && route->deadline ? *route->deadline : configuration.overload.rootDeadline;
    call.deadline = now + limit;
    if (!request.isNested) {
        call.ownRetryBudget = route->retryBudget.value_or(configuration.overload.rootRetryBudget);
    }
    return call;
}

CallState CallController::createNestedCall(const Blackboard &board, const CallRequest &request, const board::LedgerEntry &entry,
                                           core::EntryId parent) const
{
    const auto *route = board.config.read().current->priorities.match(request.service, request.method, request.path);
    CallState call;
    call.service = request.service;
    call.route = entry.envelope.route;
    call.root = entry.envelope.root;
    call.rank = entry.envelope.rank;
    call.deadline = entry.deadline;
    call.isIdempotent = route != nullptr ? route->isIdempotent : isSafeMethod(request.method);
    call.isNested = true;
    call.parent = parent;
    return call;
}

CallStep CallController::begin(Blackboard &board, CallId id, const CallRequest &request, TimePoint now, core::Random &random) const
{
    const auto parent = this->findParent(board, request);
    std::optional<CallState> call;
    if (parent) {
        call = this->createNestedCall(board, request, *this->ledger.find(board, *parent), *parent);
        this->ledger.recordNestedStart(board, *parent, now);
    } else {
        call = this->createRootCall(board, request, now, random);
    }
    if (!call) {
        return FinishCall {refusalOutcome(ErrorKind::NoRoute)};
    }
    applyTimeout(*call, request, now);
    const auto &stored = board.calls.write().calls.emplace(core::value(id), std::move(*call)).first->second;
    const bool isStopping = !request.isNested && board.drain.read().stopRequested;
    if (isStopping) {
        return this->finish(board, id, refusalOutcome(ErrorKind::Draining), now);
    }
    const bool isSheddingOn = board.config.read().current->overload.isEarlySheddingEnabled;
    if (isSheddingOn && this->shedder.shouldShed(board, stored.route, stored.service, stored.rank, now)) {
        auto outcome = refusalOutcome(ErrorKind::ShedEarly);
        outcome.threshold = this->shedder.threshold(board, stored.route, stored.service, now);
        return this->finish(board, id, outcome, now);
    }
    return this->send(board, id, now, random);
}

CallStep CallController::send(Blackboard &board, CallId id, TimePoint now, core::Random &random) const
{
    auto &call = stateOf(board.calls.write(), id);
    if (call.deadline - now < minRemainingTime) {
        return this->finish(board, id, refusalOutcome(ErrorKind::DeadlineExpired), now);
    }
    const auto *endpoint = this->chooser.choose(board, call.service, call.rank, call.tried, now, random);
    if (endpoint == nullptr && !call.tried.empty()) {
        // All endpoints have been tried, so the only option left is to try one of them again.
        call.tried.clear();
        endpoint = this->chooser.choose(board, call.service, call.rank, call.tried, now, random);
    }
    if (endpoint == nullptr) {
        return this->finish(board, id, refusalOutcome(ErrorKind::NoEndpoint), now);
    }
    this->chooser.recordSent(board, *endpoint);
    ++call.attempts;
    call.attempt = core::AttemptId {random()};
    call.node = endpoint->node;
    call.grantedRetries = this->lendBudget(board, call);
    call.sentAt = now;
    call.isInFlight = true;
    call.tried.push_back(endpoint->node);

    SendAttempt step;
    step.envelope.attempt = call.attempt;
    step.envelope.root = call.root;
    step.envelope.service = call.service;
    step.envelope.route = call.route;
    step.envelope.rank = call.rank;
    step.envelope.retryBudget = call.grantedRetries;
    step.envelope.remaining = std::max(Duration {1}, call.deadline - now - hopDeadlineMargin);
    step.envelope.isIdempotent = call.isIdempotent;
    step.envelope.target = endpoint->incarnation;
    step.node = endpoint->node;
    step.address = endpoint->address;
    step.deadline = call.deadline;
    return step;
}

int CallController::lendBudget(Blackboard &board, CallState &call) const
{
    if (call.parent) {
        return this->ledger.lendBudget(board, *call.parent);
    }
    return std::exchange(call.ownRetryBudget, 0);
}

bool CallController::spendRetry(Blackboard &board, CallState &call) const
{
    if (call.parent) {
        return this->ledger.spendRetry(board, *call.parent);
    }
    if (call.ownRetryBudget <= 0) {
        return false;
    }
    --call.ownRetryBudget;
    return true;
}

// Returns the unspent part of the lent budget. Without a report from the callee, the whole of it counts as spent.
void CallController::settleBudget(Blackboard &board, CallState &call, const std::optional<CallOutcome> &outcome) const
{
    const auto spent = outcome ? std::min(outcome->retriesSpent, call.grantedRetries) : call.grantedRetries;
    const auto unspent = call.grantedRetries - spent;
    call.retriesSpent += spent;
    call.grantedRetries = 0;
    call.isInFlight = false;
    if (call.parent) {
        this->ledger.returnBudget(board, *call.parent, unspent);
    } else {
        call.ownRetryBudget += unspent;
    }
}

bool CallController::mayRetry(Blackboard &board, const CallState &call, ErrorKind kind, const CallOutcome &outcome, TimePoint now) const
{
    const bool isSafe = outcome.ran == Ran::No || call.isIdempotent;
    if (!isSafe || !outcome.isRetryWorthwhile || remainingBudget(board, call) <= 0) {
        return false;
    }
    if (call.deadline - now < minRemainingTime) {
        return false;
    }
    const bool isOverloaded = kind == ErrorKind::Overloaded || kind == ErrorKind::None;
    const bool needsOtherEndpoint = isOverloaded || kind == ErrorKind::Draining;
    return !needsOtherEndpoint || this->chooser.hasAcceptingAlternative(board, call.service, call.rank, call.tried, now);
}

CallStep CallController::handleAttemptResult(Blackboard &board, CallId id, const AttemptResult &result, core::Random &random) const
{
    auto &call = stateOf(board.calls.write(), id);
    const auto now = result.now;
    CallOutcome outcome;
    if (result.outcome) {
        outcome = *result.outcome;
        this->shedder.recordThreshold(board, call.route, call.service, outcome.threshold, now);
    } else {
        outcome = refusalOutcome(result.kind);
        outcome.isRetryWorthwhile = core::errorProperties(result.kind).isRetryable;
    }
    this->settleBudget(board, call, result.outcome);
    const EndpointReport report {
        .kind = outcome.kind,
        .latency = now - call.sentAt,
        .hasThreshold = result.outcome.has_value(),
        .threshold = outcome.threshold,
    };
    this->chooser.recordResult(board, call.service, call.node, report, now);
    if (outcome.ran != Ran::No) {
        call.earlierAttempts = Ran::Unknown;
    }
    const bool isRetried = this->mayRetry(board, call, outcome.kind, outcome, now) && this->retries.takeToken(board, call.service, now)
        && this->spendRetry(board, call);
    if (!isRetried) {
        return this->finish(board, id, outcome, now);
    }
    ++call.retriesSpent;
    const bool shouldRetryImmediately = outcome.kind == ErrorKind::Draining || outcome.kind == ErrorKind::ConnectFailed;
    if (shouldRetryImmediately) {
        return this->send(board, id, now, random);
    }
    return WaitBeforeRetry {RetryController::backoffDelay(call.attempts, random)};
}

CallStep CallController::resumeAfterWait(Blackboard &board, CallId id, TimePoint now, core::Random &random) const
{
    return this->send(board, id, now, random);
}

CallOutcome CallController::cancel(Blackboard &board, CallId id, ErrorKind kind, TimePoint now) const
{
    auto &call = stateOf(board.calls.write(), id);
    if (call.isInFlight) {
        this->settleBudget(board, call, std::nullopt);
        EndpointReport report;
        report.kind = ErrorKind::Cancelled;
        this->chooser.recordResult(board, call.service, call.node, report, now);
        call.earlierAttempts = Ran::Unknown;
    }
    const auto step = this->finish(board, id, refusalOutcome(kind), now);
    return std::get<FinishCall>(step).outcome;
}

CallStep CallController::finish(Blackboard &board, CallId id, CallOutcome outcome, TimePoint now) const
{
    auto &table = board.calls.write();
    const auto &call = stateOf(table, id);
    // An earlier attempt may have run even if the last one was refused.
    if (outcome.ran == Ran::No && call.earlierAttempts != Ran::No) {
        outcome.ran = Ran::Unknown;
    }
    outcome.retriesSpent = call.retriesSpent;
    // The retry decision is made here, so callers further up the chain must not retry the call again.
    outcome.isRetryWorthwhile = false;
    if (call.parent) {
        const auto threshold = std::max(outcome.threshold, this->shedder.threshold(board, call.route, call.service, now));
        const bool isRefused = outcome.kind != ErrorKind::None;
        this->ledger.recordNestedEnd(board, *call.parent, threshold, isRefused, now);
    }
    table.calls.erase(core::value(id));
    return FinishCall {outcome};
}
} // namespace figpulley::decide
