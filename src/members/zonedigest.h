#pragma once

#include "board/membershipstate.h"
#include "members/swimmessage.h"

#include <vector>

namespace figpulley::members
{
/// Adds a live announcement to its zone's fingerprint.
void addToDigest(board::MembershipState &state, const Announcement &announcement);

/// Takes an announcement out of its zone's fingerprint.
void removeFromDigest(board::MembershipState &state, const Announcement &announcement);

/// Fingerprints of all zones, this node included.
[[nodiscard]] std::vector<ZoneDigest> allDigests(const board::MembershipState &state);
} // namespace figpulley::members
