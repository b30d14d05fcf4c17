#pragma once

#include "alerts/evaluator.h"

#include <string_view>

namespace figpulley::alerts
{
/// Applies an arithmetic operator or a comparison to two numbers. A comparison returns 1 or 0.
[[nodiscard]] double applyOperator(BinaryOperator binaryOperator, double left, double right) noexcept;

/// Applies the operator and the vector matching of a binary expression to its two values.
/// @throws EvaluationError if the elements of the two vectors do not match as the expression requires
[[nodiscard]] EvaluationResult combine(const Expression &binary, const EvaluationResult &left, const EvaluationResult &right);

/// Aggregates a vector by the groups of an aggregation expression.
/// @param parameter number of elements that topk and bottomk return; otherwise unused
[[nodiscard]] InstantVector aggregate(const Expression &aggregation, const InstantVector &vector, double parameter);

/// Computes a quantile of each histogram, by interpolation within its buckets.
/// @param buckets cumulative counts of the histograms; the label `le` holds the upper bound
[[nodiscard]] InstantVector histogramQuantile(double quantile, const InstantVector &buckets);
} // namespace figpulley::alerts
