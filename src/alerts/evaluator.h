#pragma once

#include "alerts/expression.h"
#include "alerts/samplesource.h"

#include <stdexcept>
#include <variant>
#include <vector>

namespace figpulley::alerts
{
/// One element of an instant vector.
struct VectorSample
{
    Labels labels;
    double value = 0;
};

using InstantVector = std::vector<VectorSample>;

/// Value of an expression at one instant.
using EvaluationResult = std::variant<double, InstantVector>;

/// An evaluation that the published semantics call an error, such as two partners where one is allowed.
class EvaluationError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// How far back an instant selector looks for a sample.
inline constexpr Millis defaultLookback = Millis {5} * 60 * millisPerSecond;

/// Evaluates expressions by the published semantics of the rule language.
class Evaluator
{
public:
    /// @param source where series are read; has to outlive the evaluator
    explicit Evaluator(const SampleSource &source, Millis lookback = defaultLookback);

    /// Evaluates an expression at an instant.
    /// @throws EvaluationError
    [[nodiscard]] EvaluationResult evaluate(const Expression &expression, Millis now) const;

    /// Evaluates an expression and turns a scalar into a vector of one element.
    [[nodiscard]] InstantVector evaluateVector(const Expression &expression, Millis now) const;

private:
    [[nodiscard]] InstantVector evaluateSelector(const Expression &selector, Millis now) const;
    [[nodiscard]] EvaluationResult evaluateCall(const Expression &call, Millis now) const;
    [[nodiscard]] InstantVector evaluateRange(const Expression &call, Millis now) const;
    [[nodiscard]] InstantVector evaluateAbsent(const Expression &call, Millis now) const;
    [[nodiscard]] double scalarOf(const Expression &expression, Millis now) const;

    const SampleSource &source;
    Millis lookback;
};
} // namespace figpulley::alerts
