#include "decide/thresholdsearch.h"

#include <algorithm>

namespace figpulley::decide
{
namespace
{
constexpr float admittedOverStarted = 1.1F; // keeps the queue from running empty
constexpr float agedShare = 0.6F; // of a moving sum, kept per window
constexpr double saturationToHold = 0.8; // share of a window
constexpr std::uint32_t firstDescent = board::ranksPerBucket;
constexpr std::uint32_t largestDescent = core::Rank::usersPerLevel;

core::Rank rankThatFits(const board::ThresholdCounts &counts) noexcept
{
    const auto allowed = counts.started * admittedOverStarted + 1;
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

core::Rank nextThreshold(core::Rank threshold, std::uint32_t &descent, const board::ThresholdCounts &counts, double seconds) noexcept
{
    if (counts.refused > 0) {
        descent = firstDescent;
        const auto fitting = rankThatFits(counts);
        // Half the way: arrivals that were sent before the last rise are still counted.
        return std::max(threshold, core::Rank((threshold.value() + fitting.value() + 1) / 2));
    }
    if (counts.saturatedTime > saturationToHold * seconds) {
        descent = firstDescent;
        return threshold;
    }
    const auto step = std::clamp(descent, firstDescent, largestDescent);
    descent = std::min(step * 2, largestDescent);
    return core::Rank(threshold.value() > step ? threshold.value() - step : 0);
}

void decay(board::ThresholdCounts &counts) noexcept
{
    for (auto &arrivals : counts.arrivals) {
        arrivals *= agedShare;
    }
    counts.started *= agedShare;
    counts.refused = 0;
    counts.saturatedTime = 0;
}
} // namespace figpulley::decide
