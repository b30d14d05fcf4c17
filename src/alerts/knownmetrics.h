#pragma once

#include <span>
#include <string_view>

namespace figpulley::alerts
{
/// Returns the names of the metrics that nodes export; rules select them without a mapping.
[[nodiscard]] std::span<const std::string_view> knownMetrics() noexcept;
} // namespace figpulley::alerts
