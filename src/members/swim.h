#pragma once

#include "board/blackboard.h"
#include "core/random.h"
#include "members/swimmessage.h"
#include "members/swimoptions.h"

#include <string>
#include <vector>

namespace figpulley::members
{
/// A datagram to be sent.
struct Outgoing
{
    std::string to; ///< control address
    SwimMessage message;
};

using OutgoingList = std::vector<Outgoing>;

/// Membership without a list: failure detection and dissemination among the nodes of a zone, and a few nodes of each
/// zone exchanging with the other zones. Keeps its state on the blackboard; takes time and randomness as parameters.
class Swim
{
public:
    explicit Swim(SwimOptions options);

    /// Announces this node and prepares to join.
    void start(board::Blackboard &board, core::TimePoint now) const;

    /// Takes a datagram.
    /// @returns datagrams to be sent
    [[nodiscard]] OutgoingList receive(board::Blackboard &board, const SwimMessage &message, core::TimePoint now,
                                       core::Random &random) const;

    /// Periodic work; call it every 50 ms or so.
    [[nodiscard]] OutgoingList tick(board::Blackboard &board, core::TimePoint now, core::Random &random) const;

    /// This node is leaving or has come back; the news goes out at once.
    [[nodiscard]] OutgoingList announceLeaving(board::Blackboard &board, bool isLeaving, core::TimePoint now, core::Random &random) const;

    /// Adds addresses to join by, such as those that the platform holds.
    void addSeeds(const std::vector<std::string> &addresses);

    /// Whether this node holds a role of its zone.
    /// @param count holders of the role
    [[nodiscard]] bool holdsRole(const board::Blackboard &board, std::string_view role, std::size_t count) const;

private:
    void merge(board::Blackboard &board, const Announcement &announcement, core::TimePoint now) const;
    void refute(board::Blackboard &board, const Announcement &claim) const;
    void spread(board::MembershipState &state, core::NodeId node) const;
    void noteZone(board::MembershipState &state, const SwimMessage &message, core::TimePoint now) const;
    [[nodiscard]] SwimMessage compose(const board::Blackboard &board, SwimKind kind) const;
    void fill(board::MembershipState &state, SwimMessage &message) const;
    void answerPing(board::Blackboard &board, const SwimMessage &message, OutgoingList &out) const;
    void takeAck(board::Blackboard &board, const SwimMessage &message, core::TimePoint now, OutgoingList &out) const;
    void relayPing(board::Blackboard &board, const SwimMessage &message, core::TimePoint now, OutgoingList &out) const;
    void answerPull(board::Blackboard &board, const SwimMessage &message, OutgoingList &out) const;
    void continuePull(board::Blackboard &board, const SwimMessage &message, core::TimePoint now, OutgoingList &out) const;
    void compareDigests(board::Blackboard &board, const SwimMessage &message, core::TimePoint now, OutgoingList &out) const;
    void endPull(board::Blackboard &board, const SwimMessage &message, core::TimePoint now, OutgoingList &out) const;
    void sendPull(board::Blackboard &board, OutgoingList &out, core::TimePoint now) const;
    void probeNext(board::Blackboard &board, core::TimePoint now, core::Random &random, OutgoingList &out) const;
    void checkProbes(board::Blackboard &board, core::TimePoint now, core::Random &random, OutgoingList &out) const;
    void noteProbeResult(board::MembershipState &state, bool isAnswered, core::TimePoint now) const;
    void expireClaims(board::Blackboard &board, core::TimePoint now) const;
    void sendGossip(board::Blackboard &board, core::TimePoint now, core::Random &random, OutgoingList &out) const;
    void exchangeZones(board::Blackboard &board, core::TimePoint now, core::Random &random, OutgoingList &out) const;
    void join(board::Blackboard &board, core::TimePoint now, core::Random &random, OutgoingList &out) const;
    [[nodiscard]] std::vector<std::uint64_t> liveNodes(const board::MembershipState &state, std::string_view zone) const;

    SwimOptions options;
};
} // namespace figpulley::members
