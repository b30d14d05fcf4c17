#include "alerts/expression.h"

#include <array>

namespace figpulley::alerts
{
namespace
{
constexpr std::array<std::string_view, 4> typeNames {"scalar", "instant vector", "range vector", "string"};

void collectMetricNames(const Expression &expression, std::vector<std::string> &names)
{
    for (const auto &matcher : expression.matchers) {
        if (matcher.label() == nameLabel && matcher.kind() == MatchKind::Equal) {
            names.push_back(matcher.pattern());
        }
    }
    for (const auto &argument : expression.arguments) {
        collectMetricNames(*argument, names);
    }
}
} // namespace

std::string_view name(ValueType type) noexcept
{
    return typeNames[static_cast<std::size_t>(type)];
}

bool isComparison(BinaryOperator binaryOperator) noexcept
{
    return binaryOperator >= BinaryOperator::Equal && binaryOperator <= BinaryOperator::GreaterEqual;
}

bool isSetOperator(BinaryOperator binaryOperator) noexcept
{
    return binaryOperator <= BinaryOperator::Unless;
}

std::vector<std::string> metricNames(const Expression &expression)
{
    std::vector<std::string> names;
    collectMetricNames(expression, names);
    return names;
}
} // namespace figpulley::alerts
