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
/// What the entrance decides about calls of one shape.
struct Route
{
    std::string name;
    std::string service;
    std::string method;
    std::string pathPrefix;
    std::uint32_t level = 0; ///< index in the file's levels; 0 is shed first
    bool isIdempotent = false;
    std::optional<core::Duration> deadline; ///< in place of the roots' deadline
    std::optional<int> retryBudget; ///< in place of the roots' budget
};

/// The `request-priorities` file.
struct RequestPriorities
{
    std::vector<std::string> levels; ///< first to last shed
    std::string userHeader; ///< request header that names the user
    std::vector<Route> routes; ///< the longest matching prefix decides

    /// Finds the route of a call.
    /// @param service service called
    /// @param method request method, in capitals
    /// @param path path without query
    /// @returns nullptr if no route matches
    [[nodiscard]] const Route *match(std::string_view service, std::string_view method, std::string_view path) const noexcept;
};

/// Tables of the file's keys.
[[nodiscard]] const text::SectionSpec &requestPrioritiesSection() noexcept;
[[nodiscard]] const text::SectionSpec &routeSection() noexcept;
} // namespace figpulley::config
