#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace figpulley::bench
{
/// The value below which a share of the samples lies.
/// @param samples taken by value, since they are sorted; not empty
/// @param share 0 to 1
[[nodiscard]] inline double percentile(std::vector<double> samples, double share)
{
    std::sort(samples.begin(), samples.end());
    const auto at = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1));
    return samples[at];
}
} // namespace figpulley::bench
