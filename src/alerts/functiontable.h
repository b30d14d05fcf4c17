#pragma once

#include "alerts/expression.h"

#include <span>
#include <string_view>

namespace figpulley::alerts
{
/// Signature of one function of the rule language.
struct FunctionSpec
{
    std::string_view name;
    ValueType result;
    std::span<const ValueType> parameters;
    std::size_t optional = 0; ///< parameters at the end that may be left out
};

/// Finds a supported function.
/// @returns nullptr if it is not supported
[[nodiscard]] const FunctionSpec *findFunction(std::string_view name) noexcept;

/// Whether a name is an aggregation such as `sum`.
[[nodiscard]] bool isAggregation(std::string_view name) noexcept;

/// Whether an aggregation takes a parameter before its vector.
[[nodiscard]] bool takesParameter(std::string_view aggregation) noexcept;
} // namespace figpulley::alerts
