#pragma once

#include <span>
#include <string_view>

namespace figpulley::alerts
{
/// Names of the metrics that nodes offer.
[[nodiscard]] std::span<const std::string_view> knownMetrics() noexcept;
} // namespace figpulley::alerts
