#pragma once

#include "alerts/samplesource.h"

#include <optional>
#include <span>
#include <string_view>

namespace figpulley::alerts
{
/// Samples of one series within a time window, without stale markers.
struct RangeWindow
{
    std::span<const Sample> samples;
    Millis start = 0;
    Millis end = 0;
    double parameter = 0; ///< quantile of quantile_over_time
};

/// Applies a range function according to the published semantics of the rule language.
/// @param function name of the function, such as `rate`
/// @returns nothing if the range has too few samples for the function
[[nodiscard]] std::optional<double> applyRangeFunction(std::string_view function, const RangeWindow &window);

/// Computes a quantile of sorted values by linear interpolation.
/// @param quantile 0 to 1; the result is infinite outside of this range, NaN for NaN or without values
[[nodiscard]] double interpolateQuantile(std::span<const double> sorted, double quantile) noexcept;
} // namespace figpulley::alerts
