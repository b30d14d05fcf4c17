#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace figpulley::net
{
/// One HTTP header field.
struct Header
{
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/// Compares header names or tokens, ignoring the case of ASCII letters.
[[nodiscard]] bool equalsIgnoreCase(std::string_view left, std::string_view right) noexcept;

/// Finds a header field by name.
/// @returns the value of the first match, or an empty view if there is none
[[nodiscard]] std::string_view findHeader(const Headers &headers, std::string_view name) noexcept;

/// Returns whether a header field applies to a single connection only, so that a proxy must not forward it.
[[nodiscard]] bool isHopByHop(std::string_view name) noexcept;
} // namespace figpulley::net
