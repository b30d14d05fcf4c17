#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::routing
{
/// Whether the requests of a route may run more than once, and the size of their responses.
enum class RequestKind : std::uint8_t {
    Safe, ///< idempotent: may run more than once
    Unsafe, ///< runs at most once per request
    Download, ///< idempotent, with large responses
};

/// Returns the name of a kind as used in files and logs.
[[nodiscard]] std::string_view name(RequestKind kind) noexcept;

/// Returns the kind with a name; nothing if the name is unknown.
[[nodiscard]] std::optional<RequestKind> requestKindFromName(std::string_view name) noexcept;

/// One of the services among which the requests of a route are split.
struct WeightedService
{
    std::string service;
    double weight = 1; ///< fraction of the requests, relative to the sum of all weights

    [[nodiscard]] bool operator==(const WeightedService &) const = default;
};

/// Target services and request policy for a host and a path prefix.
struct Route
{
    std::string name;
    std::string host; ///< in lower case, without port
    std::string prefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::Unsafe;
    core::Duration timeout {}; ///< maximum time from arrival to response
    core::Duration objective {}; ///< latency objective; a later response is worth less
    int maxAttempts = 1; ///< maximum number of endpoints that may run one request
    int priority = 0; ///< 0 is the highest
    std::vector<WeightedService> split; ///< contains at least one service

    [[nodiscard]] bool isIdempotent() const noexcept
    {
        return this->kind != RequestKind::Unsafe;
    }

    [[nodiscard]] bool operator==(const Route &) const = default;
};

/// A service that routes may refer to.
struct RoutedService
{
    std::string healthPath;
    int maxConnections = 0; ///< maximum number of connections that one endpoint accepts from all callers; 0 if unknown

    [[nodiscard]] bool operator==(const RoutedService &) const = default;
};

/// Size limits of client requests and timeouts of client connections.
struct ClientLimits
{
    std::size_t headerBytes = 16UL * 1024UL;
    std::size_t bodyBytes = 1UL << 20U;
    core::Duration headerTimeout = std::chrono::seconds(5);
    core::Duration idleTimeout = std::chrono::seconds(60);

    [[nodiscard]] bool operator==(const ClientLimits &) const = default;
};

/// All routes of one version of the configuration. A new version replaces the whole set.
struct RouteSet
{
    std::uint64_t version = 0; ///< larger versions are newer; 0 if no configuration is known
    std::vector<Route> routes;
    std::map<std::string, RoutedService> services;
    ClientLimits limits;

    [[nodiscard]] bool operator==(const RouteSet &) const = default;
};
} // namespace figpulley::routing
