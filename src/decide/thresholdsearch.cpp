#include "decide/thresholdsearch.h"

#include <algorithm>

namespace figpulley::decide
{
namespace
{
constexpr float admissionHeadroom = 1.1F; // ratio of arrivals let through to calls started; keeps the queue from running empty
constexpr float decayFactor = 0.6F; // factor applied to the moving sums after each window
constexpr double minSaturationToHold = 0.8; // fraction of a window spent at the limit above which the threshold is held
constexpr std::uint32_t minStep = board::ranksPerBucket;
constexpr std::uint32_t maxStep = core::Rank::usersPerLevel;

core::Rank lowestFittingRank(const board::ThresholdCounts &counts) noexcept
{
    const auto allowed = counts.started * admissionHeadroom + 1;
    float above = 0;
    for (std::size_t bucket = board::rankBuckets; bucket > 0; --bucket) {
        above += counts.arrivals[bucket - 1];
        if (above > allowed) {
            return core::Rank(static_cast<std::uint32_t>(bucket) * board::ranksPerBucket);
        }
    }
    return {};
}
} // namespace

core::Rank nextThreshold(core::Rank threshold, std::uint32_t &nextStep, const board::ThresholdCounts &counts, double seconds) noexcept
{
    if (counts.refused > 0) {
        nextStep = minStep;
        const auto fitting = lowestFittingRank(counts);
        // Raises the threshold by only half of the difference, since the counts include arrivals sent before the last increase of the
        // threshold.
        return std::max(threshold, core::Rank((threshold.value() + fitting.value() + 1) / 2));
    }
    if (counts.saturatedTime > minSaturationToHold * seconds) {
        nextStep = minStep;
        return threshold;
    }
    const auto step = std::clamp(nextStep, minStep, maxStep);
    nextStep = std::min(step * 2, maxStep);
    return core::Rank(threshold.value() > step ? threshold.value() - step : 0);
}

void decayCounts(board::ThresholdCounts &counts) noexcept
{
    for (auto &arrivals : counts.arrivals) {
        arrivals *= decayFactor;
    }
    counts.started *= decayFactor;
    counts.refused = 0;
    counts.saturatedTime = 0;
}
} // namespace figpulley::decide
