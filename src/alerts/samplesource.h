#pragma once

#include "alerts/duration.h"
#include "alerts/labels.h"
#include "alerts/matcher.h"

#include <vector>

namespace figpulley::alerts
{
/// Value of a series at one instant.
struct Sample
{
    Millis timestamp = 0; ///< time since the epoch, or since the start of a unit test
    double value = 0;
    bool isStale = false; ///< marks the end of the series
};

/// Series and its samples in chronological order.
struct Series
{
    Labels labels;
    std::vector<Sample> samples;
};

/// Interface through which expressions read series.
class SampleSource
{
public:
    virtual ~SampleSource() = default;

    /// Returns the series that match all matchers and have samples from `from` to `to`, inclusive, with these samples.
    [[nodiscard]] virtual std::vector<Series> select(const std::vector<Matcher> &matchers, Millis from, Millis to) const = 0;

    SampleSource() = default;
    SampleSource(const SampleSource &) = delete;
    SampleSource &operator=(const SampleSource &) = delete;
};
} // namespace figpulley::alerts
