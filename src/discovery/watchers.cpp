#include "discovery/watchers.h"

#include <algorithm>
#include <cstdint>

#include <xxhash.h>

namespace figpulley::discovery
{
namespace
{
// Each node sends about two requests per second to its watcher, which takes less than one percent of the watcher's core.
constexpr std::size_t nodesPerWatcher = 64;

std::uint64_t scoreOf(std::string_view node, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}
} // namespace

std::vector<std::string> selectWatchers(const Directory &directory, std::string_view zone, std::string_view requester)
{
    std::vector<std::string_view> nodes;
    for (const auto *known : directory.allEndpoints()) {
        if (known->record.zone == zone && acceptsRequests(known->record.state)) {
            nodes.push_back(known->record.node);
        }
    }
    const auto count = std::min(nodes.size(), 1 + nodes.size() / nodesPerWatcher);
    const auto bySeed = [](std::uint64_t seed) {
        return [seed](std::string_view left, std::string_view right) { return scoreOf(left, seed) > scoreOf(right, seed); };
    };
    const auto end = nodes.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(nodes.begin(), end, nodes.end(), bySeed(0));
    // Each requester has its own order, which spreads the requests over the watchers.
    std::sort(nodes.begin(), end, bySeed(scoreOf(requester, 1)));
    return {nodes.begin(), end};
}
} // namespace figpulley::discovery
