#pragma once

#include "alerts/expression.h"
#include "alerts/token.h"

#include <memory>
#include <string_view>

namespace figpulley::alerts
{
/// Parses and type-checks an expression. Syntax outside of the supported language is rejected, never approximated.
/// @param text the expression, unchanged from the previous monitoring system
/// @throws ExpressionError with the column of the error
///
/// Example: `parseExpression("sum by (job) (rate(errors_total[5m])) > 0.1")`
[[nodiscard]] std::unique_ptr<Expression> parseExpression(std::string_view text);
} // namespace figpulley::alerts
