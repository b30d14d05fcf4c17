#include "members/swim.h"

#include <algorithm>

namespace figpulley::members
{
namespace
{
using board::Blackboard;
using board::MembershipState;
using core::TimePoint;

constexpr std::size_t probeResultWindow = 8; // number of recent probe results that decide whether the node is isolated
constexpr std::size_t minProbeResults = 4; // number of probe results below which the node is never isolated
constexpr double isolationFraction = 0.5; // fraction of failed probes from which on the node is isolated
} // namespace

void Swim::acknowledgePing(Blackboard &board, const SwimMessage &message, OutgoingMessages &out) const
{
    auto ack = this->makeMessage(board, SwimKind::Ack);
    ack.sequence = message.sequence;
    auto &state = board.membership.write();
    // A sender that is recorded here as suspect or dead receives this announcement in the ack, so that it can refute it.
    const auto found = state.members.find(core::value(nodeIdOf(message.sender)));
    if (found != state.members.end() && found->second.announcement.status != MemberStatus::Alive) {
        ack.announcements.push_back(found->second.announcement);
    }
    this->piggybackGossip(state, ack);
    out.push_back({message.sender, std::move(ack)});
}

void Swim::recordProbeResult(MembershipState &state, bool isAcknowledged, TimePoint now) const
{
    state.probeResults.push_back(isAcknowledged);
    if (state.probeResults.size() > probeResultWindow) {
        state.probeResults.pop_front();
    }
    const auto failed = std::count(state.probeResults.begin(), state.probeResults.end(), false);
    const bool hasEnoughResults = state.probeResults.size() >= minProbeResults;
    state.isIsolated =
        hasEnoughResults && static_cast<double>(failed) >= isolationFraction * static_cast<double>(state.probeResults.size());
    if (state.isIsolated) {
        // After the isolation ends, the other members have the full suspicion time to respond before they are declared dead.
        state.isolatedUntil = now + this->options.suspicionTimeout;
    }
}

void Swim::handleAck(Blackboard &board, const SwimMessage &message, TimePoint now, OutgoingMessages &out) const
{
    auto &state = board.membership.write();
    const auto probe = std::find_if(state.probes.begin(), state.probes.end(),
                                    [&](const board::Probe &candidate) { return candidate.sequence == message.sequence; });
    if (probe != state.probes.end()) {
        this->recordProbeResult(state, true, now);
        state.probes.erase(probe);
        return;
    }
    const auto relayed = std::find_if(state.relayed.begin(), state.relayed.end(),
                                      [&](const board::RelayedProbe &candidate) { return candidate.ownSequence == message.sequence; });
    if (relayed == state.relayed.end()) {
        return;
    }
    auto ack = this->makeMessage(board, SwimKind::Ack);
    ack.sequence = relayed->requesterSequence;
    out.push_back({relayed->requester, std::move(ack)});
    state.relayed.erase(relayed);
}

void Swim::handlePingRequest(Blackboard &board, const SwimMessage &message, TimePoint now, OutgoingMessages &out) const
{
    auto &state = board.membership.write();
    auto ping = this->makeMessage(board, SwimKind::Ping);
    ping.sequence = state.nextSequence++;
    state.relayed.push_back({ping.sequence, message.sequence, message.sender, now});
    out.push_back({message.subject, std::move(ping)});
}

void Swim::probeNext(Blackboard &board, TimePoint now, core::Random &random, OutgoingMessages &out) const
{
    auto &state = board.membership.write();
    state.nextProbe = now + this->options.probeInterval;
    while (true) {
        if (state.probeOrder.empty()) {
            state.probeOrder = this->liveNodes(state, state.self.availabilityZone);
            std::shuffle(state.probeOrder.begin(), state.probeOrder.end(), random);
        }
        if (state.probeOrder.empty()) {
            return;
        }
        const auto id = state.probeOrder.back();
        state.probeOrder.pop_back();
        const auto found = state.members.find(id);
        if (found == state.members.end() || !isLive(found->second)) {
            continue;
        }
        auto ping = this->makeMessage(board, SwimKind::Ping);
        ping.sequence = state.nextSequence++;
        if (found->second.announcement.status != MemberStatus::Alive) {
            ping.announcements.push_back(found->second.announcement);
        }
        this->piggybackGossip(state, ping);
        state.probes.push_back({ping.sequence, id, now, false});
        out.push_back({found->second.announcement.controlAddress, std::move(ping)});
        return;
    }
}

void Swim::checkProbes(Blackboard &board, TimePoint now, core::Random &random, OutgoingMessages &out) const
{
    auto &state = board.membership.write();
    std::vector<std::uint64_t> failed;
    for (auto &probe : state.probes) {
        const auto age = now - probe.sentAt;
        const auto found = state.members.find(probe.node);
        if (found == state.members.end()) {
            probe.sequence = 0;
            continue;
        }
        if (age >= this->options.probeDeadline) {
            failed.push_back(probe.node);
            probe.sequence = 0;
            continue;
        }
        if (age < this->options.probeTimeout || probe.isIndirect) {
            continue;
        }
        probe.isIndirect = true;
        auto helpers = this->liveNodes(state, state.self.availabilityZone);
        std::shuffle(helpers.begin(), helpers.end(), random);
        int requestCount = 0;
        for (const auto helper : helpers) {
            if (helper == probe.node || requestCount >= this->options.indirectProbes) {
                continue;
            }
            ++requestCount;
            auto request = this->makeMessage(board, SwimKind::PingRequest);
            request.sequence = probe.sequence;
            request.subject = found->second.announcement.controlAddress;
            out.push_back({state.members.at(helper).announcement.controlAddress, std::move(request)});
        }
    }
    // A sequence of 0 marks a probe that has failed or whose member was removed.
    std::erase_if(state.probes, [](const board::Probe &probe) { return probe.sequence == 0; });
    std::erase_if(state.relayed, [&](const board::RelayedProbe &ping) { return now - ping.sentAt > this->options.probeDeadline; });
    for (const auto id : failed) {
        this->recordProbeResult(state, false, now);
        auto announcement = state.members.at(id).announcement;
        if (announcement.status == MemberStatus::Alive && !state.isIsolated) {
            announcement.status = MemberStatus::Suspect;
            this->merge(board, announcement, now);
        }
    }
}

void Swim::expireMembers(Blackboard &board, TimePoint now) const
{
    auto &state = board.membership.write();
    std::vector<Announcement> deadAnnouncements;
    std::vector<std::uint64_t> expired;
    const bool mayDeclareDead = !state.isIsolated && now >= state.isolatedUntil;
    for (auto &[id, member] : state.members) {
        const auto age = now - member.statusSince;
        // A node declares only members of its own zone dead; the members of an unreachable zone keep their status.
        const bool isOwnZone = member.announcement.availabilityZone == state.self.availabilityZone;
        if (member.announcement.status == MemberStatus::Suspect && age >= this->options.suspicionTimeout && mayDeclareDead && isOwnZone) {
            deadAnnouncements.push_back(member.announcement);
            deadAnnouncements.back().status = MemberStatus::Dead;
        }
        if (member.announcement.status == MemberStatus::Dead && age >= this->options.deadMemberLifetime) {
            expired.push_back(id);
        }
    }
    for (const auto &announcement : deadAnnouncements) {
        this->merge(board, announcement, now);
    }
    for (const auto id : expired) {
        state.members.erase(id);
    }
}
} // namespace figpulley::members
