#pragma once

#include "core/random.h"
#include "routing/routeset.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace figpulley::routing
{
/// Splits the requests of a route among its services by smooth weighted round robin, which keeps to the weights even over few requests.
class SplitPicker
{
public:
    /// Chooses the service for the next request of a route.
    /// @param route route with at least one service
    /// @param random source of the initial credits, which differ between nodes
    [[nodiscard]] const std::string &pick(const Route &route, core::Random &random);

    /// Forgets routes that are no longer configured.
    void retain(const std::unordered_set<std::string> &routes);

    /// Returns the number of routes whose credits are kept.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct SplitState
    {
        std::vector<WeightedService> split; // split for which the credits were computed
        std::vector<double> credits;
    };

    std::unordered_map<std::string, SplitState> stateByRoute;
};
} // namespace figpulley::routing
