#pragma once

#include "alerts/duration.h"
#include "alerts/matcher.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::alerts
{
/// Type of an expression's value.
enum class ValueType : std::uint8_t {
    Scalar,
    Vector,
    Range,
    String,
};

[[nodiscard]] std::string_view name(ValueType type) noexcept;

/// Node types of the expression tree.
enum class ExpressionKind : std::uint8_t {
    Number,
    String,
    Selector,
    Negation,
    Binary,
    Call,
    Aggregation,
};

/// Binary operators, in ascending order of precedence; isComparison() and isSetOperator() rely on the order.
enum class BinaryOperator : std::uint8_t {
    Or,
    And,
    Unless,
    Equal,
    NotEqual,
    Less,
    LessEqual,
    Greater,
    GreaterEqual,
    Add,
    Subtract,
    Multiply,
    Divide,
    Modulo,
    Power,
};

/// Number of elements on each side of a binary operation that may match each other.
enum class MatchCardinality : std::uint8_t {
    OneToOne,
    ManyToOne, ///< group_left: several elements of the left side match one of the right
    OneToMany, ///< group_right: several elements of the right side match one of the left
};

/// Rules by which the elements of the two vectors of a binary operation are matched.
struct VectorMatching
{
    bool usesOn = false; ///< `on`: only `labels` are compared; otherwise (`ignoring`) all labels except them
    std::vector<std::string> labels;
    MatchCardinality cardinality = MatchCardinality::OneToOne;
    std::vector<std::string> includedLabels; ///< labels copied from the "one" side of a grouped match
};

/// Node of the tree of a parsed expression.
struct Expression
{
    ExpressionKind kind = ExpressionKind::Number;
    ValueType type = ValueType::Scalar;
    std::size_t column = 1; ///< column in the text of the expression, from 1
    double number = 0;
    std::string text; ///< content of a string literal, or name of a function or an aggregation
    std::vector<Matcher> matchers;
    Millis range = 0; ///< duration of a range selector
    Millis offset = 0;
    BinaryOperator binaryOperator = BinaryOperator::Add;
    bool returnsBool = false;
    VectorMatching matching;
    bool usesWithout = false; ///< `without` of an aggregation; otherwise `by`
    std::vector<std::string> groupingLabels; ///< labels of the `by` or `without` clause of an aggregation
    std::vector<std::unique_ptr<Expression>> arguments;
};

/// Whether an operator is a comparison.
[[nodiscard]] bool isComparison(BinaryOperator binaryOperator) noexcept;

/// Whether an operator is a set operator: `or`, `and` or `unless`.
[[nodiscard]] bool isSetOperator(BinaryOperator binaryOperator) noexcept;

/// Returns the names of all metrics that the selectors of an expression match by equality.
[[nodiscard]] std::vector<std::string> metricNames(const Expression &expression);
} // namespace figpulley::alerts
