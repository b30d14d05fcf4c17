#pragma once

#include "board/blackboard.h"
#include "core/random.h"
#include "members/swimmessage.h"
#include "members/swimoptions.h"

#include <string>
#include <vector>

namespace figpulley::members
{
/// A message to be sent in one datagram.
struct OutgoingMessage
{
    std::string to; ///< control address of the receiver
    SwimMessage message;
};

using OutgoingMessages = std::vector<OutgoingMessage>;

/// Membership protocol based on SWIM, without a central list of nodes. The nodes of a zone detect failures by probes and disseminate
/// changes by gossip; a few nodes of each zone, its bridges, exchange members with other zones. The state is kept on the
/// blackboard; time and randomness are parameters.
class Swim
{
public:
    explicit Swim(SwimOptions options);

    /// Initializes the state from the identity on the blackboard, and queues the announcement of this node.
    void start(board::Blackboard &board, core::TimePoint now) const;

    /// Handles a received message.
    /// @returns messages to be sent
    [[nodiscard]] OutgoingMessages receive(board::Blackboard &board, const SwimMessage &message, core::TimePoint now,
                                           core::Random &random) const;

    /// Performs the periodic work. Must be called about every 50 ms.
    /// @returns messages to be sent
    [[nodiscard]] OutgoingMessages tick(board::Blackboard &board, core::TimePoint now, core::Random &random) const;

    /// Records that this node is leaving or accepts calls again, and announces the change at once.
    /// @returns messages to be sent; none if nothing has changed
    [[nodiscard]] OutgoingMessages announceLeaving(board::Blackboard &board, bool isLeaving, core::TimePoint now,
                                                   core::Random &random) const;

    /// Adds addresses of nodes to join through, such as the contact points in the platform.
    void addSeeds(const std::vector<std::string> &addresses);

    /// Returns whether this node holds a role in its zone.
    /// @param count number of holders of the role
    [[nodiscard]] bool holdsRole(const board::Blackboard &board, std::string_view role, std::size_t count) const;

private:
    void merge(board::Blackboard &board, const Announcement &announcement, core::TimePoint now) const;
    void refute(board::Blackboard &board, const Announcement &announcement) const;
    void queueGossip(board::MembershipState &state, core::NodeId node) const;
    void recordZoneContact(board::MembershipState &state, const SwimMessage &message, core::TimePoint now) const;
    [[nodiscard]] SwimMessage makeMessage(const board::Blackboard &board, SwimKind kind) const;
    void piggybackGossip(board::MembershipState &state, SwimMessage &message) const;
    void acknowledgePing(board::Blackboard &board, const SwimMessage &message, OutgoingMessages &out) const;
    void handleAck(board::Blackboard &board, const SwimMessage &message, core::TimePoint now, OutgoingMessages &out) const;
    void handlePingRequest(board::Blackboard &board, const SwimMessage &message, core::TimePoint now, OutgoingMessages &out) const;
    void handlePullRequest(board::Blackboard &board, const SwimMessage &message, OutgoingMessages &out) const;
    void handlePullResponse(board::Blackboard &board, const SwimMessage &message, core::TimePoint now, OutgoingMessages &out) const;
    void compareDigests(board::Blackboard &board, const SwimMessage &message, core::TimePoint now, OutgoingMessages &out) const;
    void completeZonePull(board::Blackboard &board, const SwimMessage &message, core::TimePoint now, OutgoingMessages &out) const;
    void sendPullRequest(board::Blackboard &board, OutgoingMessages &out, core::TimePoint now) const;
    void probeNext(board::Blackboard &board, core::TimePoint now, core::Random &random, OutgoingMessages &out) const;
    void checkProbes(board::Blackboard &board, core::TimePoint now, core::Random &random, OutgoingMessages &out) const;
    void recordProbeResult(board::MembershipState &state, bool isAcknowledged, core::TimePoint now) const;
    void expireMembers(board::Blackboard &board, core::TimePoint now) const;
    void sendGossip(board::Blackboard &board, core::TimePoint now, core::Random &random, OutgoingMessages &out) const;
    void exchangeDigests(board::Blackboard &board, core::TimePoint now, core::Random &random, OutgoingMessages &out) const;
    void join(board::Blackboard &board, core::TimePoint now, core::Random &random, OutgoingMessages &out) const;
    [[nodiscard]] std::vector<std::uint64_t> liveNodes(const board::MembershipState &state, std::string_view zone) const;

    SwimOptions options;
};
} // namespace figpulley::members
