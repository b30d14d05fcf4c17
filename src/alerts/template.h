#pragma once

#include "alerts/labels.h"

#include <optional>
#include <string>
#include <string_view>

namespace figpulley::alerts
{
/// Fills `{{ $labels.NAME }}` and `{{ $value }}` in a rule's label or annotation.
/// @param text a template that templateDefect() finds nothing wrong with
[[nodiscard]] std::string expandTemplate(std::string_view text, const Labels &labels, double value);

/// Finds what is not supported in a template.
/// @returns the reason, or nothing
[[nodiscard]] std::optional<std::string> templateDefect(std::string_view text);

/// Writes a number as the templates do: shortest form that reads back the same, or in exponent form when large or small.
[[nodiscard]] std::string formatValue(double value);
} // namespace figpulley::alerts
