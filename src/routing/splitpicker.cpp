#include "routing/splitpicker.h"

#include <algorithm>

namespace figpulley::routing
{
const std::string &SplitPicker::pick(const Route &route, core::Random &random)
{
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    auto &state = this->stateByRoute[route.name];
    if (state.split != route.parts) {
        state.split = route.parts;
        state.credits.assign(route.parts.size(), 0.0);
        // The random initial credits keep the nodes from all sending their first requests to the service with the largest weight.
        for (std::size_t at = 0; at < route.parts.size(); ++at) {
            state.credits[at] = core::uniform(random) * route.parts[at].weight;
        }
    }
    double total = 0;
    for (std::size_t at = 0; at < route.parts.size(); ++at) {
        state.credits[at] += route.parts[at].weight;
        total += route.parts[at].weight;
    }
    const auto best = std::max_element(state.credits.begin(), state.credits.end());
    *best -= total;
    return route.parts[static_cast<std::size_t>(best - state.credits.begin())].service;
}
} // namespace figpulley::routing
