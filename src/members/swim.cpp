#include "members/swim.h"

#include "members/rendezvous.h"
#include "members/zonedigest.h"

#include <algorithm>
#include <cmath>

namespace figpulley::members
{
namespace
{
using board::Blackboard;
using board::MembershipState;
using core::TimePoint;

// An announcement is sent gossipSendFactor * log2(size of the zone + 1) / 2 times, but at least minGossipSends times.
constexpr int gossipSendFactor = 3;
constexpr int minGossipSends = 4;
} // namespace

Swim::Swim(SwimOptions options)
    : options(std::move(options))
{
}

void Swim::start(Blackboard &board, TimePoint now) const
{
    auto &state = board.membership.write();
    const auto &identity = board.identity;
    state.self.node = identity.id;
    state.self.controlAddress = identity.controlAddress;
    state.self.ingressAddress = identity.ingressAddress;
    state.self.service = identity.service;
    state.self.availabilityZone = identity.availabilityZone;
    state.self.incarnation = identity.incarnation;
    state.nextProbe = now;
    state.nextGossip = now;
    state.nextExchange = now;
    state.nextJoin = now;
    state.generation = 1;
    this->queueGossip(state, identity.id);
}

void Swim::addSeeds(const std::vector<std::string> &addresses)
{
    for (const auto &address : addresses) {
        if (std::find(this->options.seeds.begin(), this->options.seeds.end(), address) == this->options.seeds.end()) {
            this->options.seeds.push_back(address);
        }
    }
}

std::vector<std::uint64_t> Swim::liveNodes(const MembershipState &state, std::string_view zone) const
{
    std::vector<std::uint64_t> nodes;
    for (const auto &[id, member] : state.members) {
        if (isLive(member) && member.announcement.availabilityZone == zone) {
            nodes.push_back(id);
        }
    }
    // The iteration order of the map depends on the standard library. Sorting makes runs with the same random seed reproducible.
    std::sort(nodes.begin(), nodes.end());
    return nodes;
}

bool Swim::holdsRole(const Blackboard &board, std::string_view role, std::size_t count) const
{
    const auto &state = board.membership.read();
    std::vector<core::NodeId> candidates {state.self.node};
    for (const auto id : this->liveNodes(state, state.self.availabilityZone)) {
        const auto &member = state.members.at(id);
        if (member.announcement.status == MemberStatus::Alive && !member.announcement.isLeaving) {
            candidates.push_back(core::NodeId {id});
        }
    }
    const auto order = rendezvousOrder(role, candidates, count);
    return std::find(order.begin(), order.end(), state.self.node) != order.end();
}

void Swim::queueGossip(MembershipState &state, core::NodeId node) const
{
    const auto zoneSize = state.zones[state.self.availabilityZone].count + 2.0;
    const auto sends = std::max(minGossipSends, static_cast<int>(std::ceil(gossipSendFactor * std::log2(zoneSize) / 2)));
    std::erase_if(state.gossip, [node](const board::PendingGossip &pending) { return pending.node == core::value(node); });
    state.gossip.push_front({core::value(node), sends});
}

// Refutes a wrong announcement about this node by raising its version. If the announcement has a later incarnation, from an earlier
// process at this address, the incarnation is raised above it.
void Swim::refute(Blackboard &board, const Announcement &announcement) const
{
    auto &state = board.membership.write();
    if (!isNewer(announcement, state.self)) {
        return;
    }
    if (announcement.incarnation > state.self.incarnation) {
        state.self.incarnation = core::Incarnation {core::value(announcement.incarnation) + 1};
        state.self.version = 0;
        board.identity.incarnation = state.self.incarnation;
    } else {
        state.self.version = announcement.version + 1;
    }
    this->queueGossip(state, state.self.node);
}

void Swim::merge(Blackboard &board, const Announcement &announcement, TimePoint now) const
{
    auto &state = board.membership.write();
    if (announcement.node == state.self.node) {
        this->refute(board, announcement);
        return;
    }
    const auto id = core::value(announcement.node);
    const auto found = state.members.find(id);
    if (found == state.members.end()) {
        if (announcement.status == MemberStatus::Dead) {
            return;
        }
        state.members.emplace(id, Member {announcement, now, now});
        addToDigest(state, announcement);
        ++state.generation;
        this->queueGossip(state, announcement.node);
        return;
    }
    auto &member = found->second;
    if (!isNewer(announcement, member.announcement)) {
        return;
    }
    removeFromDigest(state, member.announcement);
    const bool isNewIncarnation = announcement.incarnation != member.announcement.incarnation;
    const bool isRevived = member.announcement.status == MemberStatus::Dead && announcement.status == MemberStatus::Alive;
    if (isNewIncarnation || isRevived) {
        member.firstAlive = now;
    }
    if (announcement.status != member.announcement.status) {
        member.statusSince = now;
    }
    member.announcement = announcement;
    addToDigest(state, announcement);
    ++state.generation;
    this->queueGossip(state, announcement.node);
}

void Swim::recordZoneContact(MembershipState &state, const SwimMessage &message, TimePoint now) const
{
    state.zones[message.senderZone].lastMessageAt = now;
}

SwimMessage Swim::makeMessage(const Blackboard &board, SwimKind kind) const
{
    const auto &state = board.membership.read();
    SwimMessage message;
    message.kind = kind;
    message.sender = state.self.controlAddress;
    message.senderZone = state.self.availabilityZone;
    const auto &current = board.config.read().current;
    message.configRevision = current ? current->revision : 0;
    return message;
}

// Piggybacks queued announcements on a message. Each announcement is sent a limited number of times.
void Swim::piggybackGossip(MembershipState &state, SwimMessage &message) const
{
    auto remainingBytes = static_cast<std::ptrdiff_t>(maxMessageBytes - messageOverheadBytes);
    for (auto &pending : state.gossip) {
        const bool isSelf = pending.node == core::value(state.self.node);
        const auto found = state.members.find(pending.node);
        if (!isSelf && found == state.members.end()) {
            pending.sendsLeft = 0;
            continue;
        }
        const auto &announcement = isSelf ? state.self : found->second.announcement;
        remainingBytes -= static_cast<std::ptrdiff_t>(encodedSize(announcement));
        if (remainingBytes < 0) {
            break;
        }
        message.announcements.push_back(announcement);
        --pending.sendsLeft;
    }
    std::erase_if(state.gossip, [](const board::PendingGossip &pending) { return pending.sendsLeft <= 0; });
    // The announcements that were sent least often go first in the next message.
    std::stable_sort(state.gossip.begin(), state.gossip.end(),
                     [](const auto &left, const auto &right) { return left.sendsLeft > right.sendsLeft; });
}

OutgoingMessages Swim::receive(Blackboard &board, const SwimMessage &message, TimePoint now, core::Random & /*random*/) const
{
    OutgoingMessages out;
    auto &state = board.membership.write();
    if (message.sender == state.self.controlAddress) {
        return out;
    }
    this->recordZoneContact(state, message, now);
    for (const auto &announcement : message.announcements) {
        this->merge(board, announcement, now);
    }
    switch (message.kind) {
    case SwimKind::Ping:
        this->acknowledgePing(board, message, out);
        break;
    case SwimKind::Ack:
        this->handleAck(board, message, now, out);
        break;
    case SwimKind::PingRequest:
        this->handlePingRequest(board, message, now, out);
        break;
    case SwimKind::Gossip:
        this->compareDigests(board, message, now, out);
        break;
    case SwimKind::PullRequest:
        this->handlePullRequest(board, message, out);
        break;
    case SwimKind::PullResponse:
        this->handlePullResponse(board, message, now, out);
        break;
    }
    return out;
}

void Swim::sendGossip(Blackboard &board, TimePoint now, core::Random &random, OutgoingMessages &out) const
{
    auto &state = board.membership.write();
    state.nextGossip = now + this->options.gossipInterval;
    const auto revision = board.config.read().current ? board.config.read().current->revision : 0;
    if (revision > state.announcedRevision) {
        state.announcedRevision = revision;
        state.revisionSendsLeft = minGossipSends + gossipSendFactor;
    }
    if (state.gossip.empty() && state.revisionSendsLeft == 0) {
        return;
    }
    state.revisionSendsLeft = std::max(0, state.revisionSendsLeft - 1);
    auto targets = this->liveNodes(state, state.self.availabilityZone);
    std::shuffle(targets.begin(), targets.end(), random);
    targets.resize(std::min(targets.size(), static_cast<std::size_t>(this->options.gossipFanout)));
    if (this->holdsRole(board, "bridge", static_cast<std::size_t>(this->options.bridgesPerZone))) {
        for (const auto &[zone, view] : state.zones) {
            const auto others = zone == state.self.availabilityZone ? std::vector<std::uint64_t>() : this->liveNodes(state, zone);
            if (!others.empty()) {
                targets.push_back(others[core::uniformIndex(random, others.size())]);
            }
        }
    }
    // All targets receive the same message, so it counts as one send of each announcement.
    auto gossip = this->makeMessage(board, SwimKind::Gossip);
    this->piggybackGossip(state, gossip);
    for (const auto id : targets) {
        out.push_back({state.members.at(id).announcement.controlAddress, gossip});
    }
}

// Sends the digests of all zones to a random node of a random zone, to find changes that gossip has missed, above all after a network
// partition. Nodes that are not bridges choose only nodes of their own zone.
void Swim::exchangeDigests(Blackboard &board, TimePoint now, core::Random &random, OutgoingMessages &out) const
{
    auto &state = board.membership.write();
    state.nextExchange = now + this->options.exchangeInterval;
    const bool isBridge = this->holdsRole(board, "bridge", static_cast<std::size_t>(this->options.bridgesPerZone));
    std::vector<std::string> zones {state.self.availabilityZone};
    if (isBridge) {
        for (const auto &[zone, view] : state.zones) {
            if (zone != state.self.availabilityZone && view.count > 0) {
                zones.push_back(zone);
            }
        }
    }
    auto digest = this->makeMessage(board, SwimKind::Gossip);
    digest.digests = allDigests(state);
    const auto &zone = zones[core::uniformIndex(random, zones.size())];
    const auto targets = this->liveNodes(state, zone);
    if (!targets.empty()) {
        out.push_back({state.members.at(targets[core::uniformIndex(random, targets.size())]).announcement.controlAddress, digest});
    }
    // A seed that is not a known member may be on the other side of a network partition, so the digests go to a random seed as well.
    if (isBridge && !this->options.seeds.empty()) {
        const auto &seed = this->options.seeds[core::uniformIndex(random, this->options.seeds.size())];
        if (seed != state.self.controlAddress && !state.members.contains(core::value(nodeIdOf(seed)))) {
            digest.announcements.push_back(state.self);
            out.push_back({seed, std::move(digest)});
        }
    }
}

void Swim::join(Blackboard &board, TimePoint now, core::Random &random, OutgoingMessages &out) const
{
    auto &state = board.membership.write();
    // The jitter prevents the nodes of a zone that start together from contacting the seeds at the same time.
    const auto jitter =
        core::Duration(static_cast<std::int64_t>(core::uniform(random) * static_cast<double>(this->options.joinInterval.count())));
    state.nextJoin = now + this->options.joinInterval + jitter;
    std::vector<std::string> seeds;
    for (const auto &seed : this->options.seeds) {
        if (seed != state.self.controlAddress) {
            seeds.push_back(seed);
        }
    }
    if (seeds.empty()) {
        state.hasJoined = true;
        return;
    }
    state.pull = {};
    state.pull.peer = seeds[core::uniformIndex(random, seeds.size())];
    state.pull.isActive = true;
    this->sendPullRequest(board, out, now);
}

OutgoingMessages Swim::tick(Blackboard &board, TimePoint now, core::Random &random) const
{
    OutgoingMessages out;
    const auto &state = board.membership.read();
    const bool hasNoMembers = state.members.empty();
    if ((!state.hasJoined || hasNoMembers) && now >= state.nextJoin) {
        this->join(board, now, random, out);
    }
    this->checkProbes(board, now, random, out);
    this->expireMembers(board, now);
    if (now >= state.nextProbe) {
        this->probeNext(board, now, random, out);
    }
    if (now >= state.nextGossip) {
        this->sendGossip(board, now, random, out);
    }
    if (now >= state.nextExchange) {
        this->exchangeDigests(board, now, random, out);
    }
    return out;
}

OutgoingMessages Swim::announceLeaving(Blackboard &board, bool isLeaving, TimePoint now, core::Random &random) const
{
    auto &state = board.membership.write();
    OutgoingMessages out;
    if (state.self.isLeaving == isLeaving) {
        return out;
    }
    state.self.isLeaving = isLeaving;
    ++state.self.version;
    ++state.generation;
    this->queueGossip(state, state.self.node);
    this->sendGossip(board, now, random, out);
    return out;
}
} // namespace figpulley::members
