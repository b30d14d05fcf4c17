#include "decide/limit/pidlimit.h"

#include <algorithm>

namespace figpulley::decide
{
namespace
{
constexpr double latencySetpoint = 1.3; // target ratio of latency to its baseline
constexpr double proportionalGain = 0.2;
constexpr double integralGain = 0.02;
constexpr double derivativeGain = 0.05;
constexpr double integralBound = 2.0;
constexpr double maxStepRatio = 0.3; // fraction of the limit by which it changes at most per window
} // namespace

double PidLimit::nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy & /*policy*/) const
{
    state.baseline = state.baseline == 0 ? window.latency : std::min(state.baseline, window.latency);
    const auto error = latencySetpoint - window.latency / state.baseline;
    const bool isLimitUnused = window.concurrency < state.limit / 2;
    if (error > 0 && isLimitUnused) {
        return state.limit;
    }
    state.integral = std::clamp(state.integral + error, -integralBound, integralBound);
    const auto derivative = error - state.lastError;
    state.lastError = error;
    const auto step = proportionalGain * error + integralGain * state.integral + derivativeGain * derivative;
    return state.limit * (1 + std::clamp(step, -maxStepRatio, maxStepRatio));
}
} // namespace figpulley::decide
