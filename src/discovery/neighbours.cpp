#include "discovery/neighbours.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace figpulley::discovery
{
namespace
{
// A record that is known to two other nodes outlasts the loss of its own node and of one more.
constexpr std::size_t ringSuccessors = 2;
constexpr std::size_t zoneSuccessors = 1;
constexpr std::uint64_t ringSeed = 2;

std::uint64_t ringPosition(std::string_view node)
{
    return XXH3_64bits_withSeed(node.data(), node.size(), ringSeed);
}

// Distance from a position to a later one on the ring.
std::uint64_t distance(std::uint64_t from, std::uint64_t to)
{
    return to - from;
}

bool isMember(const KnownEndpoint &known)
{
    return known.record.state != EndpointState::Gone;
}

using Neighbour = std::pair<std::uint64_t, const KnownEndpoint *>; // distance on the ring, and the node

// Keeps the nearest neighbours, the nearest first.
class Nearest
{
public:
    explicit Nearest(std::size_t count)
        : count(count)
    {
    }

    void add(Neighbour neighbour)
    {
        const auto place = std::upper_bound(this->kept.begin(), this->kept.end(), neighbour);
        if (place != this->kept.end() || this->kept.size() < this->count) {
            this->kept.insert(place, neighbour);
            this->kept.resize(std::min(this->kept.size(), this->count));
        }
    }

    [[nodiscard]] const std::vector<Neighbour> &neighbours() const noexcept
    {
        return this->kept;
    }

    // Distance up to which nodes have no more than the kept neighbours between.
    [[nodiscard]] std::uint64_t reach() const noexcept
    {
        return this->kept.size() < this->count ? UINT64_MAX : this->kept.back().first;
    }

private:
    std::size_t count;
    std::vector<Neighbour> kept;
};
} // namespace

std::vector<std::string> selectSuccessors(const Directory &directory, std::string_view node, std::string_view zone)
{
    const auto position = ringPosition(node);
    Nearest onRing(ringSuccessors);
    Nearest inZone(zoneSuccessors);
    for (const auto *known : directory.allEndpoints()) {
        if (known->record.node == node || !isMember(*known)) {
            continue;
        }
        const Neighbour neighbour {distance(position, ringPosition(known->record.node)), known};
        onRing.add(neighbour);
        if (known->record.zone == zone) {
            inZone.add(neighbour);
        }
    }
    std::vector<std::string> successors;
    for (const auto &neighbours : {onRing.neighbours(), inZone.neighbours()}) {
        for (const auto &[length, known] : neighbours) {
            if (std::find(successors.begin(), successors.end(), known->record.node) == successors.end()) {
                successors.push_back(known->record.node);
            }
        }
    }
    return successors;
}

std::vector<const KnownEndpoint *> selectPredecessors(const Directory &directory, std::string_view node)
{
    const auto *own = directory.find(node);
    if (own == nullptr || !isMember(*own)) {
        return {};
    }
    const auto position = ringPosition(node);
    const auto others = directory.allEndpoints();
    Nearest onRing(ringSuccessors);
    Nearest inZone(zoneSuccessors);
    for (const auto *known : others) {
        if (known == own || !isMember(*known)) {
            continue;
        }
        const Neighbour neighbour {distance(ringPosition(known->record.node), position), known};
        onRing.add(neighbour);
        if (known->record.zone == own->record.zone) {
            inZone.add(neighbour);
        }
    }
    std::vector<const KnownEndpoint *> predecessors;
    for (const auto *known : others) {
        const auto length = distance(ringPosition(known->record.node), position);
        const bool isInZone = known->record.zone == own->record.zone;
        if (known != own && (length <= onRing.reach() || (isInZone && length <= inZone.reach()))) {
            predecessors.push_back(known);
        }
    }
    return predecessors;
}
} // namespace figpulley::discovery
