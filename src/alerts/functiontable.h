#pragma once

#include "alerts/expression.h"

#include <span>
#include <string_view>

namespace figpulley::alerts
{
/// Signature of a function of the rule language.
struct FunctionSpec
{
    std::string_view name;
    ValueType result;
    std::span<const ValueType> parameters;
    std::size_t optionalParameters = 0; ///< number of trailing parameters that may be omitted
};

/// Finds a function by its name.
/// @returns nullptr if the function is not supported
[[nodiscard]] const FunctionSpec *findFunction(std::string_view name) noexcept;

/// Whether a name is that of a supported aggregation, such as `sum`.
[[nodiscard]] bool isAggregation(std::string_view name) noexcept;

/// Whether an aggregation takes a scalar parameter before its vector.
[[nodiscard]] bool takesParameter(std::string_view aggregation) noexcept;
} // namespace figpulley::alerts
