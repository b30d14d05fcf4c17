#pragma once

#include "core/random.h"
#include "routing/routeset.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace figpulley::routing
{
/// Shares a route's requests among its parts by smooth weighted round robin, so that the shares are exact over short spans.
class SplitPicker
{
public:
    /// @param route with at least one part
    /// @param random gives each node its own starting point
    /// @returns the service that this request goes to
    [[nodiscard]] const std::string &pick(const Route &route, core::Random &random);

private:
    struct Credits
    {
        std::vector<SplitPart> parts; // that the credits are for
        std::vector<double> credit;
    };

    std::unordered_map<std::string, Credits> routes;
};
} // namespace figpulley::routing
