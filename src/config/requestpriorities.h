#pragma once

#include "core/time.h"
#include "text/keyspec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::config
{
/// Classification of root calls by service, method and path prefix.
struct Route
{
    std::string name;
    std::string service;
    std::string method;
    std::string pathPrefix;
    std::uint32_t level = 0; ///< index into the file's levels; level 0 is shed first
    bool isIdempotent = false;
    std::optional<core::Duration> deadline; ///< overrides the deadline of root calls
    std::optional<int> retryBudget; ///< overrides the retry budget of root calls
};

/// Contents of the `request-priorities` file.
struct RequestPriorities
{
    std::vector<std::string> levels; ///< priority levels, in the order in which they are shed
    std::string userHeader; ///< request header that names the user
    std::vector<Route> routes; ///< in the order of the file

    /// Finds the route with the longest matching path prefix.
    /// @param service service that is called
    /// @param method request method, in upper case
    /// @param path path without its query
    /// @returns nullptr if no route matches
    [[nodiscard]] const Route *match(std::string_view service, std::string_view method, std::string_view path) const noexcept;
};

/// Specifications of the file's keys.
[[nodiscard]] const text::SectionSpec &requestPrioritiesSection() noexcept;
[[nodiscard]] const text::SectionSpec &routeSection() noexcept;
} // namespace figpulley::config
