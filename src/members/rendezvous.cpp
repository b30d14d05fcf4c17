#include "members/rendezvous.h"

#include <algorithm>

#include <xxhash.h>

namespace figpulley::members
{
namespace
{
struct ScoredNode
{
    std::uint64_t score = 0;
    core::NodeId node {};
};
} // namespace

std::vector<core::NodeId> rendezvousOrder(std::string_view role, const std::vector<core::NodeId> &nodes, std::size_t count)
{
    const auto seed = XXH3_64bits(role.data(), role.size());
    std::vector<ScoredNode> scored;
    scored.reserve(nodes.size());
    for (const auto node : nodes) {
        const auto number = core::value(node);
        scored.push_back({XXH3_64bits_withSeed(&number, sizeof number, seed), node});
    }
    const auto holderCount = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(holderCount), scored.end(),
                      [](const ScoredNode &left, const ScoredNode &right) {
                          return left.score != right.score ? left.score > right.score : left.node > right.node;
                      });
    std::vector<core::NodeId> order;
    order.reserve(holderCount);
    for (std::size_t position = 0; position < holderCount; ++position) {
        order.push_back(scored[position].node);
    }
    return order;
}
} // namespace figpulley::members
