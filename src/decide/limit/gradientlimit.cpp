#include "decide/limit/gradientlimit.h"

#include <algorithm>
#include <cmath>

namespace figpulley::decide
{
namespace
{
constexpr double smallestGradient = 0.5;
constexpr double smoothing = 0.3;
} // namespace

double GradientLimit::next(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy & /*policy*/) const
{
    state.baseline = state.baseline == 0 ? window.latency : std::min(state.baseline, window.latency);
    const auto gradient = std::clamp(state.baseline / window.latency, smallestGradient, 1.0);
    // The square root leaves room for a queue that shows whether a larger limit would be used.
    const auto target = state.limit * gradient + std::sqrt(state.limit);
    const bool wouldGrowUnused = target > state.limit && window.concurrency < state.limit / 2;
    if (wouldGrowUnused) {
        return state.limit;
    }
    return state.limit * (1 - smoothing) + target * smoothing;
}
} // namespace figpulley::decide
