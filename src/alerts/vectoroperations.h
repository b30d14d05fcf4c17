#pragma once

#include "alerts/evaluator.h"

#include <string_view>

namespace figpulley::alerts
{
/// Applies an arithmetic operator or a comparison to two numbers; a comparison gives 1 or 0.
[[nodiscard]] double applyOperator(BinaryOperator binaryOperator, double left, double right) noexcept;

/// Combines two values by a binary expression's operator and matching.
[[nodiscard]] EvaluationResult combine(const Expression &binary, const EvaluationResult &left, const EvaluationResult &right);

/// Aggregates a vector.
/// @param parameter of topk and bottomk
[[nodiscard]] InstantVector aggregate(const Expression &aggregation, const InstantVector &vector, double parameter);

/// Quantile of the histograms whose buckets are in a vector.
[[nodiscard]] InstantVector histogramQuantile(double share, const InstantVector &buckets);
} // namespace figpulley::alerts
