#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::net
{
/// Finds a parameter in a query such as `?a=1&b=2`. Values are not percent-decoded.
/// @returns the value, or an empty string if the parameter is absent
[[nodiscard]] std::string findQueryText(std::string_view query, std::string_view name);

/// Finds a numeric parameter in a query.
/// @returns no value if the parameter is absent or not a number
[[nodiscard]] std::optional<std::uint64_t> findQueryNumber(std::string_view query, std::string_view name);
} // namespace figpulley::net
