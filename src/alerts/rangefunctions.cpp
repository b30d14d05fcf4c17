#include "alerts/rangefunctions.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <vector>

namespace figpulley::alerts
{
namespace
{
using Samples = std::span<const Sample>;
using Function = std::optional<double> (*)(const RangeWindow &);

// A series is assumed to extend to an edge of the window if its nearest sample is closer than this multiple of the mean
// interval between samples.
constexpr double extrapolationThreshold = 1.1;

double toSeconds(Millis millis)
{
    return static_cast<double>(millis) / static_cast<double>(millisPerSecond);
}

// Returns the sum of the values that a counter had before each reset.
double resetCorrection(Samples samples)
{
    double correction = 0;
    for (std::size_t index = 1; index < samples.size(); ++index) {
        if (samples[index].value < samples[index - 1].value) {
            correction += samples[index - 1].value;
        }
    }
    return correction;
}

// Computes the difference over the whole window, extrapolated from the first and last samples to its edges. A counter is not
// extrapolated below zero.
std::optional<double> extrapolatedDifference(const RangeWindow &window, bool isCounter, bool isRate)
{
    const auto samples = window.samples;
    if (samples.size() < 2) {
        return std::nullopt;
    }
    auto result = samples.back().value - samples.front().value;
    if (isCounter) {
        result += resetCorrection(samples);
    }
    auto startGap = toSeconds(samples.front().timestamp - window.start);
    const auto endGap = toSeconds(window.end - samples.back().timestamp);
    const auto sampledDuration = toSeconds(samples.back().timestamp - samples.front().timestamp);
    const auto meanInterval = sampledDuration / static_cast<double>(samples.size() - 1);
    if (isCounter && result > 0 && samples.front().value >= 0) {
        const auto durationToZero = sampledDuration * (samples.front().value / result);
        startGap = std::min(startGap, durationToZero);
    }
    const auto threshold = meanInterval * extrapolationThreshold;
    auto coveredDuration = sampledDuration;
    coveredDuration += startGap < threshold ? startGap : meanInterval / 2;
    coveredDuration += endGap < threshold ? endGap : meanInterval / 2;
    auto factor = coveredDuration / sampledDuration;
    if (isRate) {
        factor /= toSeconds(window.end - window.start);
    }
    return result * factor;
}

std::optional<double> instantDifference(const RangeWindow &window, bool isRate)
{
    const auto samples = window.samples;
    if (samples.size() < 2) {
        return std::nullopt;
    }
    const auto &last = samples[samples.size() - 1];
    const auto &previous = samples[samples.size() - 2];
    const bool isReset = isRate && last.value < previous.value;
    const auto difference = isReset ? last.value : last.value - previous.value;
    return isRate ? difference / toSeconds(last.timestamp - previous.timestamp) : difference;
}

std::optional<double> rate(const RangeWindow &window)
{
    return extrapolatedDifference(window, true, true);
}

std::optional<double> increase(const RangeWindow &window)
{
    return extrapolatedDifference(window, true, false);
}

std::optional<double> delta(const RangeWindow &window)
{
    return extrapolatedDifference(window, false, false);
}

std::optional<double> irate(const RangeWindow &window)
{
    return instantDifference(window, true);
}

std::optional<double> idelta(const RangeWindow &window)
{
    return instantDifference(window, false);
}

double sumValues(Samples samples)
{
    return std::accumulate(samples.begin(), samples.end(), 0.0, [](double sum, const Sample &sample) { return sum + sample.value; });
}

std::optional<double> sumOverTime(const RangeWindow &window)
{
    return sumValues(window.samples);
}

std::optional<double> avgOverTime(const RangeWindow &window)
{
    return sumValues(window.samples) / static_cast<double>(window.samples.size());
}

// NaN is returned only if all values are NaN.
std::optional<double> minOverTime(const RangeWindow &window)
{
    auto minimum = window.samples.front().value;
    for (const auto &sample : window.samples) {
        if (sample.value < minimum || std::isnan(minimum)) {
            minimum = sample.value;
        }
    }
    return minimum;
}

std::optional<double> maxOverTime(const RangeWindow &window)
{
    auto maximum = window.samples.front().value;
    for (const auto &sample : window.samples) {
        if (sample.value > maximum || std::isnan(maximum)) {
            maximum = sample.value;
        }
    }
    return maximum;
}

std::optional<double> countOverTime(const RangeWindow &window)
{
    return static_cast<double>(window.samples.size());
}

std::optional<double> lastOverTime(const RangeWindow &window)
{
    return window.samples.back().value;
}

std::optional<double> presentOverTime(const RangeWindow & /*window*/)
{
    return 1;
}

std::optional<double> changes(const RangeWindow &window)
{
    double count = 0;
    for (std::size_t index = 1; index < window.samples.size(); ++index) {
        const auto previous = window.samples[index - 1].value;
        const auto current = window.samples[index].value;
        const bool isSame = previous == current || (std::isnan(previous) && std::isnan(current));
        count += isSame ? 0 : 1;
    }
    return count;
}

std::optional<double> resets(const RangeWindow &window)
{
    double count = 0;
    for (std::size_t index = 1; index < window.samples.size(); ++index) {
        count += window.samples[index].value < window.samples[index - 1].value ? 1 : 0;
    }
    return count;
}

std::optional<double> quantileOverTime(const RangeWindow &window)
{
    std::vector<double> values;
    values.reserve(window.samples.size());
    for (const auto &sample : window.samples) {
        values.push_back(sample.value);
    }
    std::sort(values.begin(), values.end());
    return interpolateQuantile(values, window.parameter);
}

struct NamedFunction
{
    std::string_view name;
    Function function;
};

constexpr std::array<NamedFunction, 15> functions {{
    {"rate", &rate},
    {"increase", &increase},
    {"delta", &delta},
    {"irate", &irate},
    {"idelta", &idelta},
    {"sum_over_time", &sumOverTime},
    {"avg_over_time", &avgOverTime},
    {"min_over_time", &minOverTime},
    {"max_over_time", &maxOverTime},
    {"count_over_time", &countOverTime},
    {"last_over_time", &lastOverTime},
    {"present_over_time", &presentOverTime},
    {"changes", &changes},
    {"resets", &resets},
    {"quantile_over_time", &quantileOverTime},
}};
} // namespace

double interpolateQuantile(std::span<const double> sorted, double quantile) noexcept
{
    if (sorted.empty() || std::isnan(quantile)) {
        return std::nan("");
    }
    if (quantile < 0) {
        return -HUGE_VAL;
    }
    if (quantile > 1) {
        return HUGE_VAL;
    }
    const auto rank = quantile * static_cast<double>(sorted.size() - 1);
    const auto lower = static_cast<std::size_t>(std::floor(rank));
    const auto upper = std::min(lower + 1, sorted.size() - 1);
    const auto weight = rank - std::floor(rank);
    return sorted[lower] * (1 - weight) + sorted[upper] * weight;
}

std::optional<double> applyRangeFunction(std::string_view function, const RangeWindow &window)
{
    if (window.samples.empty()) {
        return std::nullopt;
    }
    const auto found =
        std::find_if(functions.begin(), functions.end(), [function](const NamedFunction &item) { return item.name == function; });
    return found == functions.end() ? std::nullopt : found->function(window);
}
} // namespace figpulley::alerts
