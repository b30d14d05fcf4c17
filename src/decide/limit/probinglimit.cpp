#include "decide/limit/probinglimit.h"

#include <algorithm>
#include <cmath>

namespace figpulley::decide
{
namespace
{
constexpr double latencyTolerance = 1.2; // ratio to the baseline that keeps every slot of the upstream busy
constexpr double smallestGradient = 0.7;
constexpr double largestGradient = 1.25;
constexpr double overloadDecrease = 0.85; // when the upstream itself says that it sheds
constexpr double probeReduction = 0.6; // share of the limit during a probe
constexpr double roomAboveProbe = 1.1; // over the limit of a probe that lost no throughput
constexpr double reductionToJudge = 0.9; // share of concurrency below which a probe tells something
constexpr double saturationToProbe = 0.5; // below it the limit does not bind, and latency is the baseline
constexpr int windowsBetweenProbes = 40;
constexpr int windowsBelievedAfterProbe = 4; // before a large drop is tested again
constexpr double baselineAverage = 0.3; // weight of a new unqueued window

bool isSaturated(const LimitWindow &window)
{
    return window.saturation > saturationToProbe;
}

// With a queue at the upstream, latency falls in proportion to concurrency; without one it does not change.
bool showsQueue(const board::LimitState &state, const LimitWindow &window)
{
    const auto latencyIfQueued = state.lastLatency * window.concurrency / state.lastConcurrency;
    return window.latency < (latencyIfQueued + state.lastLatency) / 2;
}

double startProbe(board::LimitState &state, const LimitWindow &window)
{
    state.limitBeforeProbe = state.limit;
    state.lastLatency = window.latency;
    state.lastConcurrency = std::max(window.concurrency, 1.0);
    state.windowsSinceProbe = 0;
    state.windowsToSkip = 1;
    return std::min(state.limit, std::max(window.concurrency, 1.0)) * probeReduction;
}

double endProbe(board::LimitState &state, const LimitWindow &window)
{
    const auto before = state.limitBeforeProbe;
    const bool didReduce = window.concurrency < state.lastConcurrency * reductionToJudge;
    state.limitBeforeProbe = 0;
    state.windowsToSkip = 1;
    if (!didReduce) {
        return before;
    }
    if (!showsQueue(state, window)) {
        state.baseline = window.latency;
        return before;
    }
    // The smaller concurrency carried the same throughput, so it is kept, and a still smaller one is tried soon.
    state.baseline = std::min(state.baseline, window.latency);
    state.windowsSinceProbe = windowsBetweenProbes - windowsBelievedAfterProbe;
    return state.limit * roomAboveProbe;
}
} // namespace

double ProbingLimit::next(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy & /*policy*/) const
{
    if (state.windowsToSkip > 0) {
        --state.windowsToSkip;
        return state.limit;
    }
    if (state.limitBeforeProbe > 0) {
        return endProbe(state, window);
    }
    ++state.windowsSinceProbe;
    if (state.baseline == 0) {
        state.baseline = window.latency;
    }
    if (!isSaturated(window)) {
        // Nothing waits here, so nothing but the upstream itself decides the latency, up to the limit that bounds its queue.
        if (window.concurrency < state.limit / 2) {
            state.baseline += baselineAverage * (window.latency - state.baseline);
        } else {
            state.baseline = std::min(state.baseline, window.latency);
        }
        return state.limit;
    }
    const auto ratio = state.baseline * latencyTolerance / window.latency;
    const bool isDrop = ratio < smallestGradient && state.windowsSinceProbe > windowsBelievedAfterProbe;
    if (isDrop || state.windowsSinceProbe >= windowsBetweenProbes) {
        // A large drop is tested before it is believed: the upstream may have become slower instead of queueing.
        return startProbe(state, window);
    }
    state.baseline = std::min(state.baseline, window.latency);
    if (window.overloadAnswers > 0) {
        return state.limit * overloadDecrease;
    }
    const auto gradient = std::clamp(ratio, smallestGradient, largestGradient);
    const bool wouldGrowUnused = gradient > 1 && window.concurrency < state.limit * 0.8;
    return wouldGrowUnused ? state.limit : state.limit * gradient;
}
} // namespace figpulley::decide
