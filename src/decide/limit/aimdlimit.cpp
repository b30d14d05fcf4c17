#include "decide/limit/aimdlimit.h"

#include <algorithm>

namespace figpulley::decide
{
namespace
{
constexpr double latencyTolerance = 1.5; // ratio to the baseline above which latency counts as congestion
constexpr double decreaseFactor = 0.9;
constexpr double minSaturationToGrow = 0.2;
} // namespace

double AimdLimit::nextLimit(board::LimitState &state, const LimitWindow &window, const config::ServicePolicy & /*policy*/) const
{
    state.baseline = state.baseline == 0 ? window.latency : std::min(state.baseline, window.latency);
    const bool isCongested = window.overloadResponses > 0 || window.latency > state.baseline * latencyTolerance;
    if (isCongested) {
        return state.limit * decreaseFactor;
    }
    if (window.saturation > minSaturationToGrow) {
        return state.limit + 1;
    }
    return state.limit;
}
} // namespace figpulley::decide
