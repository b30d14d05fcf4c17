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

/// Compares header names without regard to case.
[[nodiscard]] bool isSameName(std::string_view left, std::string_view right) noexcept;

/// Finds a field by name.
/// @returns the first value, or an empty view
[[nodiscard]] std::string_view findHeader(const Headers &headers, std::string_view name) noexcept;

/// Whether a field concerns one connection only and is not passed on.
[[nodiscard]] bool isHopByHop(std::string_view name) noexcept;
} // namespace figpulley::net
