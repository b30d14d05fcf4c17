#pragma once

#include "alerts/duration.h"
#include "alerts/labels.h"
#include "alerts/matcher.h"

#include <vector>

namespace figpulley::alerts
{
/// One value at one instant.
struct Sample
{
    Millis at = 0; ///< since the epoch
    double value = 0;
    bool isStale = false; ///< the series ended here
};

/// Samples of one series in the order of time.
struct Series
{
    Labels labels;
    std::vector<Sample> samples;
};

/// Where expressions read their series.
class SampleSource
{
public:
    virtual ~SampleSource() = default;

    /// Selects series with their samples from `from` to `to`, both included.
    [[nodiscard]] virtual std::vector<Series> select(const std::vector<Matcher> &matchers, Millis from, Millis to) const = 0;

    SampleSource() = default;
    SampleSource(const SampleSource &) = delete;
    SampleSource &operator=(const SampleSource &) = delete;
};
} // namespace figpulley::alerts
