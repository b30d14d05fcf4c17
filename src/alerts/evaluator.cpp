#include "alerts/evaluator.h"

#include "alerts/rangefunctions.h"
#include "alerts/vectoroperations.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>

namespace figpulley::alerts
{
namespace
{
Labels withoutMetricName(const Labels &labels)
{
    return labels.without({});
}

InstantVector mapValues(InstantVector vector, const std::function<double(double)> &function)
{
    for (auto &sample : vector) {
        sample.labels = withoutMetricName(sample.labels);
        sample.value = function(sample.value);
    }
    return vector;
}

double roundToMultiple(double value, double step)
{
    // The published semantics round halves up.
    const auto inverse = 1 / step;
    return std::floor(value * inverse + 0.5) / inverse;
}

void requireUniqueLabels(const InstantVector &vector)
{
    std::set<Labels> seen;
    for (const auto &sample : vector) {
        if (!seen.insert(sample.labels).second) {
            throw EvaluationError("the vector contains the labels " + sample.labels.toString() + " twice");
        }
    }
}
} // namespace

Evaluator::Evaluator(const SampleSource &source, Millis lookback)
    : source(source)
    , lookback(lookback)
{
}

EvaluationResult Evaluator::evaluate(const Expression &expression, Millis now) const
{
    switch (expression.kind) {
    case ExpressionKind::Number:
        return expression.number;
    case ExpressionKind::String:
        throw EvaluationError("a string literal cannot be evaluated here");
    case ExpressionKind::Selector:
        return this->evaluateSelector(expression, now);
    case ExpressionKind::Negation: {
        const auto value = this->evaluate(*expression.arguments[0], now);
        if (const auto *number = std::get_if<double>(&value)) {
            return -*number;
        }
        return mapValues(std::get<InstantVector>(value), [](double number) { return -number; });
    }
    case ExpressionKind::Binary: {
        const auto left = this->evaluate(*expression.arguments[0], now);
        return combine(expression, left, this->evaluate(*expression.arguments[1], now));
    }
    case ExpressionKind::Call:
        return this->evaluateCall(expression, now);
    case ExpressionKind::Aggregation: {
        const auto parameter = expression.arguments.size() == 2 ? this->evaluateScalar(*expression.arguments[0], now) : 0;
        return aggregate(expression, this->evaluateVector(*expression.arguments.back(), now), parameter);
    }
    }
    throw EvaluationError("unknown kind of expression");
}

InstantVector Evaluator::evaluateVector(const Expression &expression, Millis now) const
{
    auto value = this->evaluate(expression, now);
    if (const auto *number = std::get_if<double>(&value)) {
        return {{Labels(), *number}};
    }
    return std::get<InstantVector>(std::move(value));
}

double Evaluator::evaluateScalar(const Expression &expression, Millis now) const
{
    return std::get<double>(this->evaluate(expression, now));
}

// Returns the latest sample of each series, unless it is a stale marker or at least as old as the lookback.
InstantVector Evaluator::evaluateSelector(const Expression &selector, Millis now) const
{
    const auto at = now - selector.offset;
    InstantVector vector;
    for (const auto &series : this->source.select(selector.matchers, at - this->lookback + 1, at)) {
        const auto &last = series.samples.back();
        if (!last.isStale) {
            vector.push_back({series.labels, last.value});
        }
    }
    return vector;
}

InstantVector Evaluator::evaluateRangeFunction(const Expression &call, Millis now) const
{
    const auto &selector = *call.arguments.back();
    const auto end = now - selector.offset;
    const auto start = end - selector.range;
    const auto parameter = call.arguments.size() == 2 ? this->evaluateScalar(*call.arguments[0], now) : 0;
    InstantVector vector;
    for (auto &series : this->source.select(selector.matchers, start, end)) {
        std::erase_if(series.samples, [](const Sample &sample) { return sample.isStale; });
        const auto value = applyRangeFunction(call.text, {series.samples, start, end, parameter});
        if (value) {
            // Only last_over_time keeps the metric name, because it returns a sample unchanged.
            vector.push_back({call.text == "last_over_time" ? series.labels : withoutMetricName(series.labels), *value});
        }
    }
    requireUniqueLabels(vector);
    return vector;
}

// The result has the labels for which the selector has exactly one matcher, an equality matcher.
InstantVector Evaluator::evaluateAbsent(const Expression &call, Millis now) const
{
    const auto &argument = *call.arguments[0];
    const bool isRange = argument.type == ValueType::Range;
    bool isPresent = false;
    if (isRange) {
        const auto end = now - argument.offset;
        for (const auto &series : this->source.select(argument.matchers, end - argument.range, end)) {
            isPresent = isPresent
                || std::any_of(series.samples.begin(), series.samples.end(), [](const Sample &sample) { return !sample.isStale; });
        }
    } else {
        isPresent = !this->evaluateVector(argument, now).empty();
    }
    if (isPresent) {
        return {};
    }
    Labels labels;
    std::set<std::string> seen;
    for (const auto &matcher : argument.matchers) {
        if (matcher.label() == nameLabel) {
            continue;
        }
        const bool isFirst = seen.insert(matcher.label()).second;
        labels.set(matcher.label(), isFirst && matcher.kind() == MatchKind::Equal ? matcher.pattern() : "");
    }
    return {{labels, 1}};
}

EvaluationResult Evaluator::evaluateCall(const Expression &call, Millis now) const
{
    const auto &name = call.text;
    if (name == "absent" || name == "absent_over_time") {
        return this->evaluateAbsent(call, now);
    }
    if (!call.arguments.empty() && call.arguments.back()->type == ValueType::Range) {
        return this->evaluateRangeFunction(call, now);
    }
    if (name == "time") {
        return static_cast<double>(now) / static_cast<double>(millisPerSecond);
    }
    if (name == "vector") {
        return InstantVector {{Labels(), this->evaluateScalar(*call.arguments[0], now)}};
    }
    if (name == "histogram_quantile") {
        return histogramQuantile(this->evaluateScalar(*call.arguments[0], now), this->evaluateVector(*call.arguments[1], now));
    }
    auto vector = this->evaluateVector(*call.arguments[0], now);
    if (name == "scalar") {
        return vector.size() == 1 ? vector.front().value : std::nan("");
    }
    const auto first = call.arguments.size() > 1 ? this->evaluateScalar(*call.arguments[1], now) : 1;
    const auto second = call.arguments.size() > 2 ? this->evaluateScalar(*call.arguments[2], now) : 0;
    if (name == "clamp" && first > second) {
        return InstantVector {};
    }
    return mapValues(std::move(vector), [&](double value) {
        if (name == "abs") {
            return std::fabs(value);
        }
        if (name == "ceil") {
            return std::ceil(value);
        }
        if (name == "floor") {
            return std::floor(value);
        }
        if (name == "sqrt") {
            return std::sqrt(value);
        }
        if (name == "round") {
            return roundToMultiple(value, first);
        }
        if (name == "clamp") {
            return std::isnan(value) ? value : std::max(first, std::min(second, value));
        }
        return name == "clamp_min" ? std::fmax(first, value) : std::fmin(first, value);
    });
}
} // namespace figpulley::alerts
