#include "decide/admissioncontroller.h"

#include "decide/limit/limitalgorithm.h"
#include "decide/thresholdsearch.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace figpulley::decide
{
namespace
{
using namespace std::chrono_literals;
using board::AdmissionState;
using core::Duration;
using core::ErrorKind;
using core::TimePoint;

constexpr Duration shortestLimitWindow = 50ms;
constexpr Duration longestLimitWindow = 1s;
constexpr double latenciesPerLimitWindow = 1.5;
constexpr std::uint32_t samplesPerLimitWindow = 10;
constexpr Duration thresholdWindow = 50ms;

int limitOf(const AdmissionState &state)
{
    return std::max(1, static_cast<int>(std::lround(state.limit.limit)));
}

board::QueueKey keyOf(core::Rank rank, std::uint64_t sequence)
{
    return {core::Rank::end - rank.value(), sequence};
}

void startLimit(AdmissionState &state, const config::ServicePolicy &policy)
{
    if (state.limit.limit == 0) {
        state.limit.limit = policy.limitInitial;
    }
}

// The lowest level waits as long as the policy says, since refusing it early costs least. A higher level waits longer, the
// highest up to half of its time: nothing that came later could use the slot better.
Duration longestWait(const board::QueuedCall &call, const QueueRules &rules)
{
    const auto halfOfItsTime = (call.deadline - call.arrived) / 2;
    if (rules.levels < 2 || halfOfItsTime <= rules.queueDelay) {
        return rules.queueDelay;
    }
    const auto highest = rules.levels - 1;
    return rules.queueDelay + (halfOfItsTime - rules.queueDelay) * std::min(call.rank.level(), highest) / highest;
}

ErrorKind expiryOf(const board::QueuedCall &call, const QueueRules &rules)
{
    if (rules.now >= call.deadline) {
        return ErrorKind::DeadlineExpired;
    }
    if (rules.now - call.arrived >= longestWait(call, rules)) {
        return ErrorKind::QueueTimeout;
    }
    return ErrorKind::None;
}

QueueRules rulesOf(const board::Blackboard &board, TimePoint now)
{
    const auto levels = std::max<std::size_t>(1, board.config.read().current->priorities.levels.size());
    return {ownPolicy(board).queueDelay, static_cast<std::uint32_t>(levels), now};
}

void noteRefusal(AdmissionState &state)
{
    ++state.counts.refused;
    ++state.totalRefused;
}

void noteStart(AdmissionState &state)
{
    ++state.running;
    ++state.counts.started;
    ++state.totalStarted;
}
} // namespace

const config::ServicePolicy &ownPolicy(const board::Blackboard &board) noexcept
{
    return board.config.read().current->overload.forService(board.identity.service);
}

// Integrates concurrency and saturation up to now; every change of `running` or of the queue comes after a call of this.
void AdmissionController::account(AdmissionState &state, TimePoint now) const
{
    auto &window = state.window;
    if (window.since == TimePoint {}) {
        window.since = now;
        window.lastChange = now;
        state.counts.since = now;
    }
    const auto elapsed = core::toSeconds(now - window.lastChange);
    window.lastChange = now;
    window.concurrencyTime += elapsed * state.running;
    if (state.running >= limitOf(state)) {
        window.saturatedTime += elapsed;
        state.counts.saturatedTime += elapsed;
    }
}

AdmissionResult AdmissionController::offer(board::Blackboard &board, const board::QueuedCall &call) const
{
    auto &state = board.admission.write();
    const auto &policy = ownPolicy(board);
    startLimit(state, policy);
    this->account(state, call.arrived);
    state.counts.arrivals[std::min<std::size_t>(call.rank.value() / board::ranksPerBucket, board::rankBuckets - 1)] += 1;

    if (state.running < limitOf(state) && state.queue.empty()) {
        noteStart(state);
        return {Admission::Run, {}};
    }
    if (policy.queueLength == 0) {
        noteRefusal(state);
        return {Admission::Refuse, {}};
    }
    AdmissionResult result {Admission::Wait, {}};
    if (state.queue.size() >= static_cast<std::size_t>(policy.queueLength)) {
        const auto lowest = std::prev(state.queue.end());
        noteRefusal(state);
        if (call.rank <= lowest->second.rank) {
            return {Admission::Refuse, {}};
        }
        result.released.push_back({lowest->second.entry, ErrorKind::Overloaded});
        state.queue.erase(lowest);
    }
    state.queue.emplace(keyOf(call.rank, state.nextSequence++), call);
    return result;
}

void AdmissionController::popRunnable(AdmissionState &state, const QueueRules &rules, std::vector<QueueRelease> &released) const
{
    while (!state.queue.empty() && state.running < limitOf(state)) {
        const auto first = state.queue.begin();
        const auto refusal = expiryOf(first->second, rules);
        released.push_back({first->second.entry, refusal});
        state.queue.erase(first);
        if (refusal == ErrorKind::None) {
            noteStart(state);
        } else {
            noteRefusal(state);
        }
    }
}

std::vector<QueueRelease> AdmissionController::finish(board::Blackboard &board, const RunResult &result, TimePoint now) const
{
    auto &state = board.admission.write();
    this->account(state, now);
    --state.running;
    if (result.isSample) {
        ++state.window.completed;
        state.window.latencySum += core::toSeconds(result.latency);
    }
    if (result.isOverloadAnswer) {
        ++state.window.overloadResponses;
    }
    std::vector<QueueRelease> released;
    this->popRunnable(state, rulesOf(board, now), released);
    return released;
}

bool AdmissionController::abandon(board::Blackboard &board, core::EntryId entry, core::Rank rank) const
{
    auto &queue = board.admission.write().queue;
    for (auto at = queue.lower_bound(keyOf(rank, 0)); at != queue.end() && at->second.rank == rank; ++at) {
        if (at->second.entry == entry) {
            queue.erase(at);
            return true;
        }
    }
    return false;
}

void AdmissionController::dropExpired(AdmissionState &state, const QueueRules &rules, std::vector<QueueRelease> &released) const
{
    for (auto at = state.queue.begin(); at != state.queue.end();) {
        const auto refusal = expiryOf(at->second, rules);
        if (refusal == ErrorKind::None) {
            ++at;
            continue;
        }
        noteRefusal(state);
        released.push_back({at->second.entry, refusal});
        at = state.queue.erase(at);
    }
}

void AdmissionController::closeLimitWindow(AdmissionState &state, const config::ServicePolicy &policy, TimePoint now) const
{
    auto &window = state.window;
    const auto elapsed = now - window.since;
    if (elapsed < shortestLimitWindow) {
        return;
    }
    const auto meanLatency = window.completed > 0 ? window.latencySum / window.completed : 0.0;
    const bool isLongEnough =
        window.completed >= samplesPerLimitWindow && core::toSeconds(elapsed) >= meanLatency * latenciesPerLimitWindow;
    if (!isLongEnough && elapsed < longestLimitWindow) {
        return;
    }
    if (window.completed > 0) {
        const auto seconds = core::toSeconds(elapsed);
        const LimitWindow summary {
            .latency = std::max(meanLatency, 1e-6),
            .concurrency = window.concurrencyTime / seconds,
            .throughput = window.completed / seconds,
            .saturation = window.saturatedTime / seconds,
            .completed = window.completed,
            .overloadAnswers = window.overloadResponses,
        };
        const auto next = limitAlgorithm(policy.limitAlgorithm).next(state.limit, summary, policy);
        state.limit.limit = std::clamp<double>(next, policy.limitMinimum, policy.limitMaximum);
    }
    window = {};
    window.since = now;
    window.lastChange = now;
}

void AdmissionController::closeThresholdWindow(AdmissionState &state, TimePoint now) const
{
    auto &counts = state.counts;
    const auto elapsed = now - counts.since;
    if (elapsed < thresholdWindow) {
        return;
    }
    state.threshold = nextThreshold(state.threshold, state.thresholdStep, counts, core::toSeconds(elapsed));
    decay(counts);
    counts.since = now;
}

std::vector<QueueRelease> AdmissionController::tick(board::Blackboard &board, TimePoint now) const
{
    auto &state = board.admission.write();
    const auto &policy = ownPolicy(board);
    startLimit(state, policy);
    this->account(state, now);
    std::vector<QueueRelease> released;
    const auto rules = rulesOf(board, now);
    this->dropExpired(state, rules, released);
    this->closeLimitWindow(state, policy, now);
    this->closeThresholdWindow(state, now);
    this->popRunnable(state, rules, released);
    return released;
}
} // namespace figpulley::decide
