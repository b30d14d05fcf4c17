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
/// What a route's requests allow.
enum class RequestKind : std::uint8_t {
    Safe, ///< idempotent: may run more than once
    Unsafe, ///< runs at most once per request
    Download, ///< idempotent with large answers
};

/// Name of a kind in files and logs.
[[nodiscard]] std::string_view name(RequestKind kind) noexcept;

/// Finds a kind by its name.
[[nodiscard]] std::optional<RequestKind> requestKindFromName(std::string_view name) noexcept;

/// One of the services that share a route's requests.
struct SplitPart
{
    std::string service;
    double weight = 1; ///< share of the requests, relative to the other parts

    [[nodiscard]] bool operator==(const SplitPart &) const = default;
};

/// Where requests of a host and a path prefix go, and how they are treated.
struct Route
{
    std::string name;
    std::string host; ///< in lower case, without port
    std::string prefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::Unsafe;
    core::Duration timeout {}; ///< longest time from arrival to answer
    core::Duration objective {}; ///< time within which an answer has its full worth
    int mostAttempts = 1; ///< endpoints that one request may be sent to
    int priority = 0; ///< 0 is the most urgent
    std::vector<SplitPart> parts; ///< at least one

    [[nodiscard]] bool isIdempotent() const noexcept
    {
        return this->kind != RequestKind::Unsafe;
    }

    [[nodiscard]] bool operator==(const Route &) const = default;
};

/// A service that routes may name.
struct RoutedService
{
    std::string healthPath;
    int mostConnections = 0; ///< that one endpoint takes from all callers; 0: not told

    [[nodiscard]] bool operator==(const RoutedService &) const = default;
};

/// What a client may send and how long it may take.
struct ClientLimits
{
    std::size_t headerBytes = 16UL * 1024UL;
    std::size_t bodyBytes = 1UL << 20U;
    core::Duration headerTimeout = std::chrono::seconds(5);
    core::Duration idleTimeout = std::chrono::seconds(60);

    [[nodiscard]] bool operator==(const ClientLimits &) const = default;
};

/// All routes of one version of the configuration; replaced as a whole.
struct RouteSet
{
    std::uint64_t version = 0; ///< larger is newer; 0: none is known
    std::vector<Route> routes;
    std::map<std::string, RoutedService> services;
    ClientLimits limits;

    [[nodiscard]] bool operator==(const RouteSet &) const = default;
};
} // namespace figpulley::routing
