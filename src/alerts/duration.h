#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace figpulley::alerts
{
/// Milliseconds, as the rule language counts time.
using Millis = std::int64_t;

inline constexpr Millis millisPerSecond = 1000;

/// Reads a duration such as `5m`, `1h30m` or `500ms`; units from large to small, each at most once.
/// @returns nothing if the text is malformed or zero digits long
[[nodiscard]] std::optional<Millis> parseDuration(std::string_view text) noexcept;
} // namespace figpulley::alerts
