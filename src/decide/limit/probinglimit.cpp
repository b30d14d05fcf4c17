#include "decide/limit/probinglimit.h"

#include <algorithm>
#include <cmath>

namespace figpulley::decide
{
namespace
{
constexpr double latencyTolerance = 1.2; // target ratio to the baseline; keeps all slots of the upstream busy
constexpr double minGradient = 0.7;
constexpr double maxGradient = 1.25;
constexpr double overloadDecreaseFactor = 0.85; // applied when the upstream reports that it sheds load
constexpr double probeLimitRatio = 0.6; // ratio of the limit during a probe to the limit or concurrency before it
constexpr double probeHeadroom = 1.1; // factor on the limit of a probe that lost no throughput
constexpr double maxConclusiveConcurrencyRatio = 0.9; // ratio to the concurrency before a probe below which the probe is conclusive
// Up to this fraction of a window at the limit, the limit does not bind and latency is measured without queueing.
constexpr double bindingSaturation = 0.5;
constexpr int windowsBetweenProbes = 40;
constexpr int windowsTrustedAfterProbe = 4; // windows after a probe in which a large drop needs no new probe
constexpr double baselineWeight = 0.3; // weight of a new window without queueing in the moving average

bool isSaturated(const LimitWindow &window)
{
    return window.saturation > bindingSaturation;
}

// Whether a probe shows a queue at the upstream. With a queue, latency falls in proportion to concurrency; without one, it does not
// change.
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
    return std::min(state.limit, std::max(window.concurrency, 1.0)) * probeLimitRatio;
}

double endProbe(board::LimitState &state, const LimitWindow &window)
{
    const auto limitBefore = state.limitBeforeProbe;
    const bool isConclusive = window.concurrency < state.lastConcurrency * maxConclusiveConcurrencyRatio;
    state.limitBeforeProbe = 0;
    state.windowsToSkip = 1;
    if (!isConclusive) {
        return limitBefore;
    }
    if (!showsQueue(state, window)) {
        state.baseline = window.latency;
        return limitBefore;
    }
    // The lower concurrency had the same throughput, so it is kept, and a probe of a still lower one follows soon.
    state.baseline = std::min(state.baseline, window.latency);
    state.windowsSinceProbe = windowsBetweenProbes - windowsTrustedAfterProbe;
    return state.limit * probeHeadroom;
}
} // namespace

double ProbingLimit::nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy & /*policy*/) const
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
        // No call is queued at this node, so latency depends on the upstream alone. Near the limit, the upstream itself may queue calls,
        // so there the baseline can only fall.
        if (window.concurrency < state.limit / 2) {
            state.baseline += baselineWeight * (window.latency - state.baseline);
        } else {
            state.baseline = std::min(state.baseline, window.latency);
        }
        return state.limit;
    }
    const auto ratio = state.baseline * latencyTolerance / window.latency;
    const bool isLargeDrop = ratio < minGradient && state.windowsSinceProbe > windowsTrustedAfterProbe;
    if (isLargeDrop || state.windowsSinceProbe >= windowsBetweenProbes) {
        // Confirms a large drop with a probe first, since the upstream may have become slower without queueing.
        return startProbe(state, window);
    }
    state.baseline = std::min(state.baseline, window.latency);
    if (window.overloadResponses > 0) {
        return state.limit * overloadDecreaseFactor;
    }
    const auto gradient = std::clamp(ratio, minGradient, maxGradient);
    const bool wouldGrowUnusedLimit = gradient > 1 && window.concurrency < state.limit * 0.8;
    return wouldGrowUnusedLimit ? state.limit : state.limit * gradient;
}
} // namespace figpulley::decide
