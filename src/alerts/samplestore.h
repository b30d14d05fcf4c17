#pragma once

#include "alerts/samplesource.h"

#include <cstddef>
#include <deque>
#include <map>

namespace figpulley::alerts
{
/// A bounded window of samples in memory.
class SampleStore : public SampleSource
{
public:
    /// @param window how long samples are kept
    /// @param largestSeries series kept; samples of further ones are dropped and counted
    explicit SampleStore(Millis window, std::size_t largestSeries = 100'000);

    /// Adds a sample; one that is not later than the series' last is dropped.
    void add(const Labels &labels, const Sample &sample);

    /// Forgets samples older than the window.
    void expire(Millis now);

    [[nodiscard]] std::vector<Series> select(const std::vector<Matcher> &matchers, Millis from, Millis to) const override;

    [[nodiscard]] std::size_t seriesCount() const noexcept;
    [[nodiscard]] std::size_t dropped() const noexcept;

private:
    Millis window;
    std::size_t largestSeries;
    std::size_t droppedSamples = 0;
    std::map<Labels, std::deque<Sample>> series;
};
} // namespace figpulley::alerts
