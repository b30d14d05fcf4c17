#pragma once

#include "core/time.h"
#include "members/member.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace figpulley::board
{
/// An announcement that still has to be passed on.
struct PendingGossip
{
    std::uint64_t node = 0;
    int sendsLeft = 0;
};

/// A probe that has not been answered.
struct Probe
{
    std::uint32_t sequence = 0;
    std::uint64_t node = 0;
    core::TimePoint sentAt {};
    bool isIndirect = false; ///< third nodes were asked
};

/// A ping made for another node.
struct RelayedPing
{
    std::uint32_t ownSequence = 0;
    std::uint32_t askerSequence = 0;
    std::string asker;
    core::TimePoint sentAt {};
};

/// What is known of a zone.
struct ZoneView
{
    core::TimePoint heardAt {}; ///< last message from any of its members
    std::uint64_t hash = 0; ///< of its live announcements
    std::uint32_t count = 0;
};

/// Members that are being fetched page by page.
struct Pull
{
    std::string peer;
    std::string zone; ///< empty for all zones
    std::vector<std::string> moreZones; ///< to be fetched from the same peer afterwards
    std::unordered_set<std::uint64_t> seen; ///< nodes that the peer has named
    std::uint64_t cursor = 0;
    core::TimePoint sentAt {};
    bool isActive = false;
};

/// Members as this node knows them. Writer: members::Swim.
struct MembershipState
{
    members::Announcement self;
    std::unordered_map<std::uint64_t, members::Member> members; ///< all but this node
    std::map<std::string, ZoneView> zones;
    std::vector<std::uint64_t> probeOrder; ///< nodes of the own zone still to be probed in this round
    std::vector<Probe> probes;
    std::vector<RelayedPing> relayed;
    std::deque<PendingGossip> gossip;
    std::deque<bool> probeResults; ///< the latest, true for answered
    core::TimePoint nextProbe {};
    core::TimePoint nextGossip {};
    core::TimePoint nextExchange {}; ///< with another zone
    core::TimePoint nextJoin {};
    int revisionSendsLeft = 0; ///< a new configuration revision is announced this many times more
    std::uint64_t announcedRevision = 0;
    Pull pull;
    std::uint32_t nextSequence = 1;
    std::uint64_t generation = 0; ///< raised with every change of the members
    bool hasJoined = false;
    bool isIsolated = false; ///< most probes fail: this node, not the others, is cut off
    core::TimePoint isolatedUntil {}; ///< claims of death wait at least until then
};
} // namespace figpulley::board
