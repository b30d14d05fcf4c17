#pragma once

#include "alerts/samplesource.h"

#include <cstddef>
#include <deque>
#include <map>

namespace figpulley::alerts
{
/// In-memory store of recent samples with a bounded number of series.
class SampleStore : public SampleSource
{
public:
    /// @param window time for which samples are kept
    /// @param maxSeries maximum number of series; samples of further series are dropped
    explicit SampleStore(Millis window, std::size_t maxSeries = 100'000);

    /// Adds a sample. A sample that is not later than the last one of its series is dropped.
    void add(const Labels &labels, const Sample &sample);

    /// Removes samples older than the window.
    void removeExpired(Millis now);

    [[nodiscard]] std::vector<Series> select(const std::vector<Matcher> &matchers, Millis from, Millis to) const override;

    [[nodiscard]] std::size_t seriesCount() const noexcept;

    /// @returns the number of samples that add() has dropped
    [[nodiscard]] std::size_t droppedCount() const noexcept;

private:
    Millis window;
    std::size_t maxSeries;
    std::size_t droppedSamples = 0;
    std::map<Labels, std::deque<Sample>> series;
};
} // namespace figpulley::alerts
