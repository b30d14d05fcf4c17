#pragma once

#include "alerts/samplesource.h"

#include <optional>
#include <span>
#include <string_view>

namespace figpulley::alerts
{
/// A range of samples, without stale markers, and the window that it was taken from.
struct RangeWindow
{
    std::span<const Sample> samples;
    Millis start = 0;
    Millis end = 0;
    double parameter = 0; ///< of quantile_over_time
};

/// Computes a function of a range, by the published semantics.
/// @param function name such as `rate`
/// @returns nothing if the range has too few samples for the function
[[nodiscard]] std::optional<double> rangeFunction(std::string_view function, const RangeWindow &window);

/// Quantile of sorted values, interpolated.
/// @param share 0 to 1; outside it the result is infinite
[[nodiscard]] double quantileOf(std::span<const double> sorted, double share) noexcept;
} // namespace figpulley::alerts
