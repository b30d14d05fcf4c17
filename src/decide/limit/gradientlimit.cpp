#include "decide/limit/gradientlimit.h"

#include <algorithm>
#include <cmath>

namespace figpulley::decide
{
namespace
{
constexpr double minGradient = 0.5;
constexpr double smoothing = 0.3; // weight of the target in the new limit
} // namespace

double GradientLimit::nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy & /*policy*/) const
{
    state.baseline = state.baseline == 0 ? window.latency : std::min(state.baseline, window.latency);
    const auto gradient = std::clamp(state.baseline / window.latency, minGradient, 1.0);
    // The square root allows a short queue, which shows whether a larger limit would be used.
    const auto target = state.limit * gradient + std::sqrt(state.limit);
    const bool wouldGrowUnusedLimit = target > state.limit && window.concurrency < state.limit / 2;
    if (wouldGrowUnusedLimit) {
        return state.limit;
    }
    return state.limit * (1 - smoothing) + target * smoothing;
}
} // namespace figpulley::decide
