#pragma once

#include "alerts/labels.h"

#include <optional>
#include <string>
#include <string_view>

namespace figpulley::alerts
{
/// Replaces `{{ $labels.NAME }}` and `{{ $value }}` in a label or an annotation of a rule.
/// @param text a template in which findTemplateError() finds no error
[[nodiscard]] std::string expandTemplate(std::string_view text, const Labels &labels, double value);

/// Checks that a template is well-formed and uses only supported references.
/// @returns the error message, or nothing if the template is valid
[[nodiscard]] std::optional<std::string> findTemplateError(std::string_view text);

/// Formats a number as in templates: the shortest text that parses to the same value, with an exponent if large or small.
[[nodiscard]] std::string formatValue(double value);
} // namespace figpulley::alerts
