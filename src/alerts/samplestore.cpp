#include "alerts/samplestore.h"

#include <algorithm>

namespace figpulley::alerts
{
SampleStore::SampleStore(Millis window, std::size_t maxSeries)
    : window(window)
    , maxSeries(maxSeries)
{
}

void SampleStore::add(const Labels &labels, const Sample &sample)
{
    const auto found = this->series.find(labels);
    const bool isFull = found == this->series.end() && this->series.size() >= this->maxSeries;
    const bool isOutOfOrder = found != this->series.end() && found->second.back().timestamp >= sample.timestamp;
    if (isFull || isOutOfOrder) {
        ++this->droppedSamples;
        return;
    }
    this->series[labels].push_back(sample);
}

void SampleStore::removeExpired(Millis now)
{
    for (auto item = this->series.begin(); item != this->series.end();) {
        auto &samples = item->second;
        while (!samples.empty() && samples.front().timestamp < now - this->window) {
            samples.pop_front();
        }
        item = samples.empty() ? this->series.erase(item) : std::next(item);
    }
}

std::vector<Series> SampleStore::select(const std::vector<Matcher> &matchers, Millis from, Millis to) const
{
    std::vector<Series> selected;
    for (const auto &item : this->series) {
        const auto &labels = item.first;
        const auto &samples = item.second;
        const bool isMatch = std::all_of(matchers.begin(), matchers.end(), [&](const Matcher &matcher) { return matcher.matches(labels); });
        if (!isMatch) {
            continue;
        }
        const auto first =
            std::lower_bound(samples.begin(), samples.end(), from, [](const Sample &sample, Millis at) { return sample.timestamp < at; });
        const auto last = std::upper_bound(first, samples.end(), to, [](Millis at, const Sample &sample) { return at < sample.timestamp; });
        if (first != last) {
            selected.push_back({labels, {first, last}});
        }
    }
    return selected;
}

std::size_t SampleStore::seriesCount() const noexcept
{
    return this->series.size();
}

std::size_t SampleStore::droppedCount() const noexcept
{
    return this->droppedSamples;
}
} // namespace figpulley::alerts
