#pragma once

#include "routing/routeset.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figpulley::routing
{
/// Finds the route of a request: among the routes of its host, the one with the longest prefix of its path.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(RouteSet routes);

    /// @param host as in the `Host` header; a port and the case are ignored
    /// @param path without the query
    /// @returns nothing if no route matches
    [[nodiscard]] const Route *match(std::string_view host, std::string_view path) const;

    [[nodiscard]] const RouteSet &routes() const noexcept;

    [[nodiscard]] std::uint64_t version() const noexcept;

private:
    RouteSet set;
    std::unordered_map<std::string, std::vector<std::size_t>> byHost; // longest prefix first
};

/// The table in force; shared with the requests that were matched by it.
using RouteTablePtr = std::shared_ptr<const RouteTable>;
} // namespace figpulley::routing
