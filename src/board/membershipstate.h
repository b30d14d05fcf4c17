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
/// An announcement that is still to be disseminated.
struct PendingGossip
{
    std::uint64_t node = 0; ///< node that the announcement is about
    int sendsLeft = 0; ///< number of further messages that carry the announcement
};

/// A probe without an acknowledgement so far.
struct Probe
{
    std::uint32_t sequence = 0;
    std::uint64_t node = 0;
    core::TimePoint sentAt {};
    bool isIndirect = false; ///< whether other nodes were requested to probe the node
};

/// A probe sent on behalf of another node.
struct RelayedProbe
{
    std::uint32_t ownSequence = 0; ///< sequence number of the probe that this node sent
    std::uint32_t requesterSequence = 0; ///< sequence number that the acknowledgement to the requesting node carries
    std::string requester; ///< address of the requesting node
    core::TimePoint sentAt {};
};

/// Summary of a zone's members as this node knows them.
struct ZoneView
{
    core::TimePoint lastMessageAt {}; ///< time of the last message from any member of the zone
    std::uint64_t hash = 0; ///< hash of the announcements of live members
    std::uint32_t count = 0; ///< number of live members
};

/// State of a paged download of the member list from a peer.
struct Pull
{
    std::string peer;
    std::string zone; ///< empty for all zones
    std::vector<std::string> remainingZones; ///< zones to fetch from the same peer afterwards
    std::unordered_set<std::uint64_t> seen; ///< nodes that the peer has listed so far
    std::uint64_t cursor = 0;
    core::TimePoint sentAt {}; ///< time of the last request
    bool isActive = false;
};

/// Membership as this node knows it. Writer: members::Swim.
struct MembershipState
{
    members::Announcement self;
    std::unordered_map<std::uint64_t, members::Member> members; ///< all members except this node
    std::map<std::string, ZoneView> zones;
    std::vector<std::uint64_t> probeOrder; ///< nodes of this zone that are still to be probed in this round
    std::vector<Probe> probes;
    std::vector<RelayedProbe> relayed;
    std::deque<PendingGossip> gossip;
    std::deque<bool> probeResults; ///< results of the latest probes; true if acknowledged
    core::TimePoint nextProbe {};
    core::TimePoint nextGossip {};
    core::TimePoint nextExchange {}; ///< time of the next exchange with another zone
    core::TimePoint nextJoin {};
    int revisionSendsLeft = 0; ///< number of further messages that announce the latest configuration revision
    std::uint64_t announcedRevision = 0;
    Pull pull;
    std::uint32_t nextSequence = 1;
    std::uint64_t generation = 0; ///< incremented with every change of the members
    bool hasJoined = false;
    bool isIsolated = false; ///< whether most probes fail, so that this node rather than the others is presumed cut off
    core::TimePoint isolatedUntil {}; ///< members are not declared dead before this time
};
} // namespace figpulley::board
