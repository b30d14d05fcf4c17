#pragma once

#include "board/membershipstate.h"
#include "members/swimmessage.h"

#include <vector>

namespace figpulley::members
{
/// Adds an announcement to the digest of its zone. Announcements of dead members are ignored.
void addToDigest(board::MembershipState &state, const Announcement &announcement);

/// Removes an announcement from the digest of its zone. Announcements of dead members are ignored.
void removeFromDigest(board::MembershipState &state, const Announcement &announcement);

/// Returns the digests of all zones, with this node included in that of its own zone.
[[nodiscard]] std::vector<ZoneDigest> allDigests(const board::MembershipState &state);
} // namespace figpulley::members
