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

/// What an expression is.
enum class ExpressionKind : std::uint8_t {
    Number,
    String,
    Selector,
    Negation,
    Binary,
    Call,
    Aggregation,
};

/// Operators, from loose to tight binding.
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

/// Which side of a binary operation may have several partners.
enum class Grouping : std::uint8_t {
    OneToOne,
    Left, ///< many on the left
    Right, ///< many on the right
};

/// How the two sides of a binary operation find their partners.
struct VectorMatching
{
    bool isOn = false; ///< compare only `labels`; else all but them
    std::vector<std::string> labels;
    Grouping grouping = Grouping::OneToOne;
    std::vector<std::string> included; ///< labels taken from the one side
};

/// A parsed expression; a tree of these.
struct Expression
{
    ExpressionKind kind = ExpressionKind::Number;
    ValueType type = ValueType::Scalar;
    std::size_t column = 1; ///< in the expression's text, from 1
    double number = 0;
    std::string text; ///< content of a string; name of a function or of an aggregation
    std::vector<Matcher> matchers;
    Millis range = 0; ///< of a range selector
    Millis offset = 0;
    BinaryOperator binaryOperator = BinaryOperator::Add;
    bool returnsBool = false;
    VectorMatching matching;
    bool isWithout = false; ///< of an aggregation
    std::vector<std::string> grouping; ///< labels of an aggregation
    std::vector<std::unique_ptr<Expression>> arguments;
};

/// Whether an operator compares.
[[nodiscard]] bool isComparison(BinaryOperator binaryOperator) noexcept;

/// Whether an operator combines sets.
[[nodiscard]] bool isSetOperator(BinaryOperator binaryOperator) noexcept;

/// Names of all metrics that an expression selects by an equal name.
[[nodiscard]] std::vector<std::string> metricNames(const Expression &expression);
} // namespace figpulley::alerts
