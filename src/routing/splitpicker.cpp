#include "routing/splitpicker.h"

#include <algorithm>

namespace figpulley::routing
{
const std::string &SplitPicker::pick(const Route &route, core::Random &random)
{
    if (route.split.size() == 1) {
        return route.split.front().service;
    }
    auto &state = this->stateByRoute[route.name];
    if (state.split != route.split) {
        state.split = route.split;
        state.credits.assign(route.split.size(), 0.0);
        // The random initial credits keep the nodes from all sending their first requests to the service with the largest weight.
        for (std::size_t at = 0; at < route.split.size(); ++at) {
            state.credits[at] = core::uniform(random) * route.split[at].weight;
        }
    }
    double total = 0;
    for (std::size_t at = 0; at < route.split.size(); ++at) {
        state.credits[at] += route.split[at].weight;
        total += route.split[at].weight;
    }
    const auto best = std::max_element(state.credits.begin(), state.credits.end());
    *best -= total;
    return route.split[static_cast<std::size_t>(best - state.credits.begin())].service;
}

void SplitPicker::retain(const std::unordered_set<std::string> &routes)
{
    std::erase_if(this->stateByRoute, [&routes](const auto &entry) { return !routes.contains(entry.first); });
}

std::size_t SplitPicker::size() const noexcept
{
    return this->stateByRoute.size();
}
} // namespace figpulley::routing
