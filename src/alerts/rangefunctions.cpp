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

constexpr double thresholdFactor = 1.1; // of the mean distance, within which the series is taken to reach the window's edge

double seconds(Millis millis)
{
    return static_cast<double>(millis) / static_cast<double>(millisPerSecond);
}

// Sum of what a counter lost in resets.
double resetCorrection(Samples samples)
{
    double correction = 0;
    for (std::size_t at = 1; at < samples.size(); ++at) {
        if (samples[at].value < samples[at - 1].value) {
            correction += samples[at - 1].value;
        }
    }
    return correction;
}

// The increase over the whole window, extrapolated from the samples to its edges; a counter is not extrapolated below zero.
std::optional<double> extrapolated(const RangeWindow &window, bool isCounter, bool isRate)
{
    const auto samples = window.samples;
    if (samples.size() < 2) {
        return std::nullopt;
    }
    auto result = samples.back().value - samples.front().value;
    if (isCounter) {
        result += resetCorrection(samples);
    }
    auto toStart = seconds(samples.front().at - window.start);
    const auto toEnd = seconds(window.end - samples.back().at);
    const auto sampled = seconds(samples.back().at - samples.front().at);
    const auto mean = sampled / static_cast<double>(samples.size() - 1);
    if (isCounter && result > 0 && samples.front().value >= 0) {
        const auto toZero = sampled * (samples.front().value / result);
        toStart = std::min(toStart, toZero);
    }
    const auto threshold = mean * thresholdFactor;
    auto covered = sampled;
    covered += toStart < threshold ? toStart : mean / 2;
    covered += toEnd < threshold ? toEnd : mean / 2;
    auto factor = covered / sampled;
    if (isRate) {
        factor /= seconds(window.end - window.start);
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
    const auto &before = samples[samples.size() - 2];
    const bool isReset = isRate && last.value < before.value;
    const auto difference = isReset ? last.value : last.value - before.value;
    return isRate ? difference / seconds(last.at - before.at) : difference;
}

std::optional<double> rate(const RangeWindow &window)
{
    return extrapolated(window, true, true);
}

std::optional<double> increase(const RangeWindow &window)
{
    return extrapolated(window, true, false);
}

std::optional<double> delta(const RangeWindow &window)
{
    return extrapolated(window, false, false);
}

std::optional<double> irate(const RangeWindow &window)
{
    return instantDifference(window, true);
}

std::optional<double> idelta(const RangeWindow &window)
{
    return instantDifference(window, false);
}

double sumOf(Samples samples)
{
    return std::accumulate(samples.begin(), samples.end(), 0.0, [](double sum, const Sample &sample) { return sum + sample.value; });
}

std::optional<double> sumOverTime(const RangeWindow &window)
{
    return sumOf(window.samples);
}

std::optional<double> avgOverTime(const RangeWindow &window)
{
    return sumOf(window.samples) / static_cast<double>(window.samples.size());
}

// A number replaces NaN, NaN never replaces a number.
std::optional<double> minOverTime(const RangeWindow &window)
{
    auto least = window.samples.front().value;
    for (const auto &sample : window.samples) {
        if (sample.value < least || std::isnan(least)) {
            least = sample.value;
        }
    }
    return least;
}

std::optional<double> maxOverTime(const RangeWindow &window)
{
    auto greatest = window.samples.front().value;
    for (const auto &sample : window.samples) {
        if (sample.value > greatest || std::isnan(greatest)) {
            greatest = sample.value;
        }
    }
    return greatest;
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
    for (std::size_t at = 1; at < window.samples.size(); ++at) {
        const auto before = window.samples[at - 1].value;
        const auto present = window.samples[at].value;
        const bool isSame = before == present || (std::isnan(before) && std::isnan(present));
        count += isSame ? 0 : 1;
    }
    return count;
}

std::optional<double> resets(const RangeWindow &window)
{
    double count = 0;
    for (std::size_t at = 1; at < window.samples.size(); ++at) {
        count += window.samples[at].value < window.samples[at - 1].value ? 1 : 0;
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
    return quantileOf(values, window.parameter);
}

struct NamedFunction
{
    std::string_view name;
    Function function;
};

constexpr std::array<NamedFunction, 15> table {{
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

double quantileOf(std::span<const double> sorted, double share) noexcept
{
    if (sorted.empty() || std::isnan(share)) {
        return std::nan("");
    }
    if (share < 0) {
        return -HUGE_VAL;
    }
    if (share > 1) {
        return HUGE_VAL;
    }
    const auto rank = share * static_cast<double>(sorted.size() - 1);
    const auto lower = static_cast<std::size_t>(std::floor(rank));
    const auto upper = std::min(lower + 1, sorted.size() - 1);
    const auto weight = rank - std::floor(rank);
    return sorted[lower] * (1 - weight) + sorted[upper] * weight;
}

std::optional<double> rangeFunction(std::string_view function, const RangeWindow &window)
{
    if (window.samples.empty()) {
        return std::nullopt;
    }
    const auto found = std::find_if(table.begin(), table.end(), [function](const NamedFunction &item) { return item.name == function; });
    return found == table.end() ? std::nullopt : found->function(window);
}
} // namespace figpulley::alerts
