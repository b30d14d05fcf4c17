#pragma once

#include "alerts/expression.h"
#include "alerts/samplesource.h"

#include <stdexcept>
#include <variant>
#include <vector>

namespace figpulley::alerts
{
/// Element of an instant vector.
struct VectorSample
{
    Labels labels;
    double value = 0;
};

using InstantVector = std::vector<VectorSample>;

/// Value of an expression at one instant.
using EvaluationResult = std::variant<double, InstantVector>;

/// Thrown where the published semantics of the language define an error, such as several matches in a one-to-one operation.
class EvaluationError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Age from which an instant selector ignores a sample.
inline constexpr Millis defaultLookback = Millis {5} * 60 * millisPerSecond;

/// Evaluates expressions according to the published semantics of the rule language.
class Evaluator
{
public:
    /// @param source provides the series; must outlive the evaluator
    /// @param lookback age from which an instant selector ignores a sample
    explicit Evaluator(const SampleSource &source, Millis lookback = defaultLookback);

    /// Evaluates an expression at an instant.
    /// @throws EvaluationError if the expression has no defined result
    [[nodiscard]] EvaluationResult evaluate(const Expression &expression, Millis now) const;

    /// Evaluates an expression and converts a scalar to a vector of one element without labels.
    [[nodiscard]] InstantVector evaluateVector(const Expression &expression, Millis now) const;

private:
    [[nodiscard]] InstantVector evaluateSelector(const Expression &selector, Millis now) const;
    [[nodiscard]] EvaluationResult evaluateCall(const Expression &call, Millis now) const;
    [[nodiscard]] InstantVector evaluateRangeFunction(const Expression &call, Millis now) const;
    [[nodiscard]] InstantVector evaluateAbsent(const Expression &call, Millis now) const;
    [[nodiscard]] double evaluateScalar(const Expression &expression, Millis now) const;

    const SampleSource &source;
    Millis lookback;
};
} // namespace figpulley::alerts
