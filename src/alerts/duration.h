#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace figpulley::alerts
{
/// Milliseconds, the time resolution of the rule language.
using Millis = std::int64_t;

inline constexpr Millis millisPerSecond = 1000;

/// Parses a duration such as `5m`, `1h30m`, `500ms` or `0`. Units go from large to small, each at most once.
/// @returns nothing if the text is malformed or empty
[[nodiscard]] std::optional<Millis> parseDuration(std::string_view text) noexcept;
} // namespace figpulley::alerts
