#include "routing/splitpicker.h"

#include <algorithm>

namespace figpulley::routing
{
const std::string &SplitPicker::pick(const Route &route, core::Random &random)
{
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    auto &entry = this->routes[route.name];
    if (entry.parts != route.parts) {
        entry.parts = route.parts;
        entry.credit.assign(route.parts.size(), 0.0);
        // Without a phase of its own each node would send its first requests to the heaviest part.
        for (std::size_t at = 0; at < route.parts.size(); ++at) {
            entry.credit[at] = core::uniform(random) * route.parts[at].weight;
        }
    }
    double total = 0;
    for (std::size_t at = 0; at < route.parts.size(); ++at) {
        entry.credit[at] += route.parts[at].weight;
        total += route.parts[at].weight;
    }
    const auto best = std::max_element(entry.credit.begin(), entry.credit.end());
    *best -= total;
    return route.parts[static_cast<std::size_t>(best - entry.credit.begin())].service;
}
} // namespace figpulley::routing
