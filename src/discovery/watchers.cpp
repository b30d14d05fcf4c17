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

// Nodes beside the watchers that are asked when all of these fail. Each of them may take a while to be noticed as failed, and a change has
// to be known within 2 s.
constexpr std::size_t substituteNodes = 1;
constexpr std::uint64_t watcherSeed = 0;
constexpr std::uint64_t requesterSeed = 1;

std::uint64_t scoreOf(std::string_view node, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

auto hasHigherScore(std::uint64_t seed)
{
    return [seed](std::string_view left, std::string_view right) { return scoreOf(left, seed) > scoreOf(right, seed); };
}

struct RankedNodes
{
    std::vector<std::string_view> nodes; // by score, the highest first
    std::size_t watchers = 0; // number of nodes at the front that are watchers
};

// Returns the watchers of a zone, and the nodes with the next scores.
RankedNodes rankNodes(const Directory &directory, std::string_view zone, std::size_t substitutes)
{
    RankedNodes ranked;
    auto &nodes = ranked.nodes;
    for (const auto *known : directory.allEndpoints()) {
        if (known->record.zone == zone && acceptsRequests(known->record.state)) {
            nodes.push_back(known->record.node);
        }
    }
    ranked.watchers = std::min(nodes.size(), 1 + nodes.size() / nodesPerWatcher);
    const auto count = std::min(nodes.size(), ranked.watchers + substitutes);
    std::partial_sort(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(count), nodes.end(), hasHigherScore(watcherSeed));
    nodes.resize(count);
    return ranked;
}

// Each requester has its own order of the watchers, which spreads the requests over them.
void sortForRequester(std::vector<std::string_view> &nodes, std::size_t watchers, std::string_view requester)
{
    std::sort(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(watchers), hasHigherScore(scoreOf(requester, requesterSeed)));
}
} // namespace

std::vector<std::string> selectWatchers(const Directory &directory, std::string_view zone, std::string_view requester)
{
    auto ranked = rankNodes(directory, zone, 0);
    sortForRequester(ranked.nodes, ranked.watchers, requester);
    return {ranked.nodes.begin(), ranked.nodes.end()};
}

std::vector<std::string> selectSources(const Directory &directory, std::string_view zone, std::string_view requester, bool isAnnounced)
{
    auto ranked = rankNodes(directory, zone, substituteNodes);
    const auto watchersEnd = ranked.nodes.begin() + static_cast<std::ptrdiff_t>(ranked.watchers);
    if (std::find(ranked.nodes.begin(), watchersEnd, requester) != watchersEnd) {
        return {};
    }
    sortForRequester(ranked.nodes, ranked.watchers, requester);
    if (isAnnounced || directory.find(requester) != nullptr) {
        std::erase_if(ranked.nodes, [requester](std::string_view node) { return !hasHigherScore(watcherSeed)(node, requester); });
    }
    return {ranked.nodes.begin(), ranked.nodes.end()};
}
} // namespace figpulley::discovery
