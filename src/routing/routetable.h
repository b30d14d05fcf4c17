#pragma once

#include "routing/routeset.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace figpulley::routing
{
/// A route that a request keeps while it is in flight.
using RoutePtr = std::shared_ptr<const Route>;

/// Finds the route of a request: the one with the longest matching path prefix among the routes of its host.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(RouteSet routes);

    /// @param host value of the `Host` header; the port and the case are ignored
    /// @param path path of the request without the query
    /// @returns null if no route matches. The route does not keep the table: requests in flight would otherwise hold all routes of every
    /// version under which one of them has arrived
    [[nodiscard]] RoutePtr match(std::string_view host, std::string_view path) const;

    [[nodiscard]] const std::map<std::string, RoutedService> &services() const noexcept;

    [[nodiscard]] const ClientLimits &limits() const noexcept;

    /// Returns the number of routes.
    [[nodiscard]] std::size_t size() const noexcept;

    /// Returns the names of all routes.
    [[nodiscard]] std::unordered_set<std::string> names() const;

    [[nodiscard]] std::uint64_t version() const noexcept;

private:
    std::uint64_t setVersion = 0;
    std::size_t routeCount = 0;
    std::unordered_map<std::string, std::vector<RoutePtr>> byHost; // longest prefix first
    std::map<std::string, RoutedService> routedServices;
    ClientLimits clientLimits;
};

/// The active routing table.
using RouteTablePtr = std::shared_ptr<const RouteTable>;
} // namespace figpulley::routing
