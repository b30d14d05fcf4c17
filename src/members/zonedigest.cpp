#include "members/zonedigest.h"

#include <array>

#include <xxhash.h>

namespace figpulley::members
{
namespace
{
// Hashes a member for the digest of its zone. A digest is the exclusive or of the hashes of its members, so that it is updated in
// constant time.
std::uint64_t hashMember(const Announcement &announcement)
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
    if (announcement.status != MemberStatus::Dead) {
        zone.hash ^= hashMember(announcement);
        ++zone.count;
    }
}

void removeFromDigest(board::MembershipState &state, const Announcement &announcement)
{
    auto &zone = state.zones[announcement.availabilityZone];
    if (announcement.status != MemberStatus::Dead) {
        zone.hash ^= hashMember(announcement);
        --zone.count;
    }
}

std::vector<ZoneDigest> allDigests(const board::MembershipState &state)
{
    std::vector<ZoneDigest> digests;
    for (const auto &[zone, view] : state.zones) {
        const bool isOwn = zone == state.self.availabilityZone;
        digests.push_back({zone, isOwn ? view.hash ^ hashMember(state.self) : view.hash, view.count + (isOwn ? 1U : 0U)});
    }
    return digests;
}
} // namespace figpulley::members
