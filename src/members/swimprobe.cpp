#include "members/swim.h"

#include <algorithm>

namespace figpulley::members
{
namespace
{
using board::Blackboard;
using board::MembershipState;
using core::TimePoint;

constexpr std::size_t probeMemory = 8; // results that decide about isolation
constexpr std::size_t resultsToJudge = 4;
constexpr double isolationShare = 0.5; // of failed probes
} // namespace

void Swim::answerPing(Blackboard &board, const SwimMessage &message, OutgoingList &out) const
{
    auto answer = this->compose(board, SwimKind::Ack);
    answer.sequence = message.sequence;
    auto &state = board.membership.write();
    // A node that is not known here, or is believed dead, must learn it from the answer to refute it.
    const auto found = state.members.find(core::value(nodeIdOf(message.sender)));
    if (found != state.members.end() && found->second.announcement.claim != Claim::Alive) {
        answer.announcements.push_back(found->second.announcement);
    }
    this->fill(state, answer);
    out.push_back({message.sender, std::move(answer)});
}

void Swim::noteProbeResult(MembershipState &state, bool isAnswered, TimePoint now) const
{
    state.probeResults.push_back(isAnswered);
    if (state.probeResults.size() > probeMemory) {
        state.probeResults.pop_front();
    }
    const auto failed = std::count(state.probeResults.begin(), state.probeResults.end(), false);
    const bool isJudged = state.probeResults.size() >= resultsToJudge;
    state.isIsolated = isJudged && static_cast<double>(failed) >= isolationShare * static_cast<double>(state.probeResults.size());
    if (state.isIsolated) {
        // After the cut, the others get the whole time of suspicion to answer.
        state.isolatedUntil = now + this->options.suspicion;
    }
}

void Swim::takeAck(Blackboard &board, const SwimMessage &message, TimePoint now, OutgoingList &out) const
{
    auto &state = board.membership.write();
    const auto probe = std::find_if(state.probes.begin(), state.probes.end(),
                                    [&](const board::Probe &candidate) { return candidate.sequence == message.sequence; });
    if (probe != state.probes.end()) {
        this->noteProbeResult(state, true, now);
        state.probes.erase(probe);
        return;
    }
    const auto relayed = std::find_if(state.relayed.begin(), state.relayed.end(),
                                      [&](const board::RelayedProbe &candidate) { return candidate.ownSequence == message.sequence; });
    if (relayed == state.relayed.end()) {
        return;
    }
    auto answer = this->compose(board, SwimKind::Ack);
    answer.sequence = relayed->requesterSequence;
    out.push_back({relayed->requester, std::move(answer)});
    state.relayed.erase(relayed);
}

void Swim::relayPing(Blackboard &board, const SwimMessage &message, TimePoint now, OutgoingList &out) const
{
    auto &state = board.membership.write();
    auto ping = this->compose(board, SwimKind::Ping);
    ping.sequence = state.nextSequence++;
    state.relayed.push_back({ping.sequence, message.sequence, message.sender, now});
    out.push_back({message.subject, std::move(ping)});
}

void Swim::probeNext(Blackboard &board, TimePoint now, core::Random &random, OutgoingList &out) const
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
        auto ping = this->compose(board, SwimKind::Ping);
        ping.sequence = state.nextSequence++;
        if (found->second.announcement.claim != Claim::Alive) {
            ping.announcements.push_back(found->second.announcement);
        }
        this->fill(state, ping);
        state.probes.push_back({ping.sequence, id, now, false});
        out.push_back({found->second.announcement.controlAddress, std::move(ping)});
        return;
    }
}

void Swim::checkProbes(Blackboard &board, TimePoint now, core::Random &random, OutgoingList &out) const
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
        int asked = 0;
        for (const auto helper : helpers) {
            if (helper == probe.node || asked >= this->options.indirectProbes) {
                continue;
            }
            ++asked;
            auto request = this->compose(board, SwimKind::PingRequest);
            request.sequence = probe.sequence;
            request.subject = found->second.announcement.controlAddress;
            out.push_back({state.members.at(helper).announcement.controlAddress, std::move(request)});
        }
    }
    std::erase_if(state.probes, [](const board::Probe &probe) { return probe.sequence == 0; });
    std::erase_if(state.relayed, [&](const board::RelayedProbe &ping) { return now - ping.sentAt > this->options.probeDeadline; });
    for (const auto id : failed) {
        this->noteProbeResult(state, false, now);
        auto claim = state.members.at(id).announcement;
        if (claim.claim == Claim::Alive && !state.isIsolated) {
            claim.claim = Claim::Suspect;
            this->merge(board, claim, now);
        }
    }
}

void Swim::expireClaims(Blackboard &board, TimePoint now) const
{
    auto &state = board.membership.write();
    std::vector<Announcement> deaths;
    std::vector<std::uint64_t> forgotten;
    const bool mayJudge = !state.isIsolated && now >= state.isolatedUntil;
    for (auto &[id, member] : state.members) {
        const auto age = now - member.claimSince;
        // Each zone judges its own members; a zone that cannot be heard is left as it was.
        const bool isOwnZone = member.announcement.availabilityZone == state.self.availabilityZone;
        if (member.announcement.claim == Claim::Suspect && age >= this->options.suspicion && mayJudge && isOwnZone) {
            deaths.push_back(member.announcement);
            deaths.back().claim = Claim::Dead;
        }
        if (member.announcement.claim == Claim::Dead && age >= this->options.tombstone) {
            forgotten.push_back(id);
        }
    }
    for (const auto &death : deaths) {
        this->merge(board, death, now);
    }
    for (const auto id : forgotten) {
        state.members.erase(id);
    }
}
} // namespace figpulley::members
