#include "members/zonedigest.h"

#include <array>

#include <xxhash.h>

namespace figpulley::members
{
namespace
{
// The exclusive or of member hashes can be kept up to date in constant time.
std::uint64_t hashOf(const Announcement &announcement)
{
    const std::array<std::uint64_t, 4> words {
        core::value(announcement.node),
        core::value(announcement.incarnation),
        announcement.version,
        static_cast<std::uint64_t>(announcement.isLeaving),
    };
    return XXH3_64bits(words.data(), sizeof words);
}
} // namespace

void addToDigest(board::MembershipState &state, const Announcement &announcement)
{
    auto &zone = state.zones[announcement.availabilityZone];
    if (announcement.claim != Claim::Dead) {
        zone.hash ^= hashOf(announcement);
        ++zone.count;
    }
}

void removeFromDigest(board::MembershipState &state, const Announcement &announcement)
{
    auto &zone = state.zones[announcement.availabilityZone];
    if (announcement.claim != Claim::Dead) {
        zone.hash ^= hashOf(announcement);
        --zone.count;
    }
}

std::vector<ZoneDigest> allDigests(const board::MembershipState &state)
{
    std::vector<ZoneDigest> digests;
    for (const auto &[zone, view] : state.zones) {
        const bool isOwn = zone == state.self.availabilityZone;
        digests.push_back({zone, isOwn ? view.hash ^ hashOf(state.self) : view.hash, view.count + (isOwn ? 1U : 0U)});
    }
    return digests;
}
} // namespace figpulley::members
