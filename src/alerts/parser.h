#pragma once

#include "alerts/expression.h"
#include "alerts/token.h"

#include <memory>
#include <string_view>

namespace figpulley::alerts
{
/// Parses and type-checks an expression of the supported rule language; what is outside is refused, never approximated.
/// @param text the expression, letter by letter as in the old setup
/// @throws ExpressionError with the column of the defect
///
/// Example: `parseExpression("sum by (job) (rate(errors_total[5m])) > 0.1")`
[[nodiscard]] std::unique_ptr<Expression> parseExpression(std::string_view text);
} // namespace figpulley::alerts
