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

constexpr Duration minLimitWindow = 50ms;
constexpr Duration maxLimitWindow = 1s;
constexpr double minLatenciesPerLimitWindow = 1.5;
constexpr std::uint32_t minSamplesPerLimitWindow = 10;
constexpr Duration thresholdWindow = 50ms;

int roundedLimit(const AdmissionState &state)
{
    return std::max(1, static_cast<int>(std::lround(state.limit.limit)));
}

board::QueueKey queueKey(core::Rank rank, std::uint64_t sequence)
{
    return {core::Rank::end - rank.value(), sequence};
}

void initialiseLimit(AdmissionState &state, const config::ServicePolicy &policy)
{
    if (state.limit.limit == 0) {
        state.limit.limit = policy.limitInitial;
    }
}

// A call of the lowest level waits at most the policy's queue delay, since an early refusal costs least there. The bound grows with
// the level, up to half of the call's time to its deadline at the highest level, since no later arrival has a higher level.
Duration maxWait(const board::QueuedCall &call, const QueueLimits &limits)
{
    const auto halfOfLifetime = (call.deadline - call.arrived) / 2;
    if (limits.levels < 2 || halfOfLifetime <= limits.queueDelay) {
        return limits.queueDelay;
    }
    const auto highest = limits.levels - 1;
    return limits.queueDelay + (halfOfLifetime - limits.queueDelay) * std::min(call.rank.level(), highest) / highest;
}

ErrorKind expiryReason(const board::QueuedCall &call, const QueueLimits &limits)
{
    if (limits.now >= call.deadline) {
        return ErrorKind::DeadlineExpired;
    }
    if (limits.now - call.arrived >= maxWait(call, limits)) {
        return ErrorKind::QueueTimeout;
    }
    return ErrorKind::None;
}

QueueLimits queueLimits(const board::Blackboard &board, TimePoint now)
{
    const auto levels = std::max<std::size_t>(1, board.config.read().current->priorities.levels.size());
    return {localServicePolicy(board).queueDelay, static_cast<std::uint32_t>(levels), now};
}

void countRefusal(AdmissionState &state)
{
    ++state.counts.refused;
    ++state.totalRefused;
}

void countStart(AdmissionState &state)
{
    ++state.running;
    ++state.counts.started;
    ++state.totalStarted;
}
} // namespace

const config::ServicePolicy &localServicePolicy(const board::Blackboard &board) noexcept
{
    return board.config.read().current->overload.forService(board.identity.service);
}

// Integrates concurrency and saturation up to `now`. It must run before each change of `running` or of the limit.
void AdmissionController::accumulateTimes(AdmissionState &state, TimePoint now) const
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
    if (state.running >= roundedLimit(state)) {
        window.saturatedTime += elapsed;
        state.counts.saturatedTime += elapsed;
    }
}

AdmissionResult AdmissionController::handleArrival(board::Blackboard &board, const board::QueuedCall &call) const
{
    auto &state = board.admission.write();
    const auto &policy = localServicePolicy(board);
    initialiseLimit(state, policy);
    this->accumulateTimes(state, call.arrived);
    state.counts.arrivals[std::min<std::size_t>(call.rank.value() / board::ranksPerBucket, board::rankBuckets - 1)] += 1;

    if (state.running < roundedLimit(state) && state.queue.empty()) {
        countStart(state);
        return {Admission::Run, {}};
    }
    if (policy.queueLength == 0) {
        countRefusal(state);
        return {Admission::Refuse, {}};
    }
    AdmissionResult result {Admission::Wait, {}};
    if (state.queue.size() >= static_cast<std::size_t>(policy.queueLength)) {
        const auto lowest = std::prev(state.queue.end());
        countRefusal(state);
        if (call.rank <= lowest->second.rank) {
            return {Admission::Refuse, {}};
        }
        result.released.push_back({lowest->second.entry, ErrorKind::Overloaded});
        state.queue.erase(lowest);
    }
    state.queue.emplace(queueKey(call.rank, state.nextSequence++), call);
    return result;
}

void AdmissionController::popRunnable(AdmissionState &state, const QueueLimits &limits, std::vector<QueueRelease> &released) const
{
    while (!state.queue.empty() && state.running < roundedLimit(state)) {
        const auto first = state.queue.begin();
        const auto refusal = expiryReason(first->second, limits);
        released.push_back({first->second.entry, refusal});
        state.queue.erase(first);
        if (refusal == ErrorKind::None) {
            countStart(state);
        } else {
            countRefusal(state);
        }
    }
}

std::vector<QueueRelease> AdmissionController::handleCompletion(board::Blackboard &board, const RunResult &result, TimePoint now) const
{
    auto &state = board.admission.write();
    this->accumulateTimes(state, now);
    --state.running;
    if (result.isSample) {
        ++state.window.completed;
        state.window.latencySum += core::toSeconds(result.latency);
    }
    if (result.isOverloadResponse) {
        ++state.window.overloadResponses;
    }
    std::vector<QueueRelease> released;
    this->popRunnable(state, queueLimits(board, now), released);
    return released;
}

bool AdmissionController::removeQueued(board::Blackboard &board, core::EntryId entry, core::Rank rank) const
{
    auto &queue = board.admission.write().queue;
    for (auto position = queue.lower_bound(queueKey(rank, 0)); position != queue.end() && position->second.rank == rank; ++position) {
        if (position->second.entry == entry) {
            queue.erase(position);
            return true;
        }
    }
    return false;
}

void AdmissionController::dropExpired(AdmissionState &state, const QueueLimits &limits, std::vector<QueueRelease> &released) const
{
    for (auto position = state.queue.begin(); position != state.queue.end();) {
        const auto refusal = expiryReason(position->second, limits);
        if (refusal == ErrorKind::None) {
            ++position;
            continue;
        }
        countRefusal(state);
        released.push_back({position->second.entry, refusal});
        position = state.queue.erase(position);
    }
}

void AdmissionController::closeLimitWindow(AdmissionState &state, const config::ServicePolicy &policy, TimePoint now) const
{
    auto &window = state.window;
    const auto elapsed = now - window.since;
    if (elapsed < minLimitWindow) {
        return;
    }
    const auto meanLatency = window.completed > 0 ? window.latencySum / window.completed : 0.0;
    const bool isLongEnough =
        window.completed >= minSamplesPerLimitWindow && core::toSeconds(elapsed) >= meanLatency * minLatenciesPerLimitWindow;
    if (!isLongEnough && elapsed < maxLimitWindow) {
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
            .overloadResponses = window.overloadResponses,
        };
        const auto next = limitAlgorithmFor(policy.limitAlgorithm).nextLimit(state.limit, summary, policy);
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
    decayCounts(counts);
    counts.since = now;
}

std::vector<QueueRelease> AdmissionController::tick(board::Blackboard &board, TimePoint now) const
{
    auto &state = board.admission.write();
    const auto &policy = localServicePolicy(board);
    initialiseLimit(state, policy);
    this->accumulateTimes(state, now);
    std::vector<QueueRelease> released;
    const auto limits = queueLimits(board, now);
    this->dropExpired(state, limits, released);
    this->closeLimitWindow(state, policy, now);
    this->closeThresholdWindow(state, now);
    this->popRunnable(state, limits, released);
    return released;
}
} // namespace figpulley::decide
