#pragma once

#include "routing/routeset.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figpulley::routing
{
/// Finds the route of a request: the one with the longest matching path prefix among the routes of its host.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(RouteSet routes);

    /// @param host value of the `Host` header; the port and the case are ignored
    /// @param path path of the request without the query
    /// @returns null if no route matches
    [[nodiscard]] const Route *match(std::string_view host, std::string_view path) const;

    [[nodiscard]] const RouteSet &routes() const noexcept;

    [[nodiscard]] std::uint64_t version() const noexcept;

private:
    RouteSet set;
    std::unordered_map<std::string, std::vector<std::size_t>> byHost; // positions in set.routes by host, longest prefix first
};

/// The active routing table, shared with the requests that were matched against it.
using RouteTablePtr = std::shared_ptr<const RouteTable>;
} // namespace figpulley::routing
