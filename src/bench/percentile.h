#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace figpulley::bench
{
/// Returns the value below which a fraction of the samples lies.
/// @param samples at least one; copied, because they are sorted in place
/// @param fraction between 0 and 1
[[nodiscard]] inline double percentile(std::vector<double> samples, double fraction)
{
    std::sort(samples.begin(), samples.end());
    const auto at = static_cast<std::size_t>(fraction * static_cast<double>(samples.size() - 1));
    return samples[at];
}
} // namespace figpulley::bench
