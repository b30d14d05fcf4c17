#include "members/swim.h"

#include "members/zonedigest.h"

#include <algorithm>
#include <chrono>

namespace figpulley::members
{
namespace
{
using board::Blackboard;
using core::TimePoint;

constexpr core::Duration pullTimeout = std::chrono::milliseconds(500);
} // namespace

void Swim::handlePullRequest(Blackboard &board, const SwimMessage &message, OutgoingMessages &out) const
{
    const auto &state = board.membership.read();
    std::vector<const Announcement *> members;
    const auto select = [&](const Announcement &announcement) {
        const bool isRequestedZone = message.zone.empty() || announcement.availabilityZone == message.zone;
        if (isRequestedZone && core::value(announcement.node) > message.cursor) {
            members.push_back(&announcement);
        }
    };
    select(state.self);
    for (const auto &[id, member] : state.members) {
        select(member.announcement);
    }
    std::sort(members.begin(), members.end(), [](const Announcement *left, const Announcement *right) { return left->node < right->node; });
    std::size_t next = 0;
    for (int page = 0; page < this->options.pullPagesPerRequest; ++page) {
        auto response = this->makeMessage(board, SwimKind::PullResponse);
        response.zone = message.zone;
        response.cursor = message.cursor;
        auto remainingBytes = maxMessageBytes - messageOverheadBytes;
        while (next < members.size() && encodedSize(*members[next]) <= remainingBytes) {
            remainingBytes -= encodedSize(*members[next]);
            response.cursor = core::value(members[next]->node);
            response.announcements.push_back(*members[next]);
            ++next;
        }
        response.isLastPage = next == members.size();
        // Only the last message of a batch makes the requester continue, so that it sends one request per batch.
        response.sequence = page + 1 == this->options.pullPagesPerRequest || response.isLastPage ? 1 : 0;
        const bool isEnd = response.isLastPage;
        out.push_back({message.sender, std::move(response)});
        if (isEnd) {
            break;
        }
    }
}

void Swim::sendPullRequest(Blackboard &board, OutgoingMessages &out, TimePoint now) const
{
    auto &state = board.membership.write();
    auto request = this->makeMessage(board, SwimKind::PullRequest);
    request.zone = state.pull.zone;
    request.cursor = state.pull.cursor;
    // The request carries the requester's own announcement, so that a joining node becomes known to its peer.
    request.announcements.push_back(state.self);
    state.pull.sentAt = now;
    out.push_back({state.pull.peer, std::move(request)});
}

void Swim::handlePullResponse(Blackboard &board, const SwimMessage &message, TimePoint now, OutgoingMessages &out) const
{
    auto &state = board.membership.write();
    auto &pull = state.pull;
    if (!pull.isActive || message.sender != pull.peer || message.zone != pull.zone) {
        return;
    }
    state.hasJoined = true;
    pull.cursor = std::max(pull.cursor, message.cursor);
    pull.sentAt = now;
    for (const auto &announcement : message.announcements) {
        pull.seen.insert(core::value(announcement.node));
    }
    if (message.isLastPage) {
        this->completeZonePull(board, message, now, out);
    } else if (message.sequence == 1) {
        this->sendPullRequest(board, out, now);
    }
}

// Completes the pull of one zone. When a member of another zone has listed all members of that zone, the members missing from the
// list are removed. Members of the own zone are removed by probes only.
void Swim::completeZonePull(Blackboard &board, const SwimMessage &message, TimePoint now, OutgoingMessages &out) const
{
    auto &state = board.membership.write();
    auto &pull = state.pull;
    const bool isAuthoritative = !pull.zone.empty() && message.senderZone == pull.zone && pull.zone != state.self.availabilityZone;
    if (isAuthoritative) {
        const auto erased = std::erase_if(state.members, [&](const auto &item) {
            const auto &announcement = item.second.announcement;
            const bool isGone = announcement.availabilityZone == pull.zone && !pull.seen.contains(item.first);
            if (isGone) {
                removeFromDigest(state, announcement);
            }
            return isGone;
        });
        state.generation += erased > 0 ? 1 : 0;
    }
    if (pull.remainingZones.empty()) {
        pull.isActive = false;
        return;
    }
    pull.zone = pull.remainingZones.back();
    pull.remainingZones.pop_back();
    pull.cursor = 0;
    pull.seen.clear();
    this->sendPullRequest(board, out, now);
}

// Pulls each zone whose digest differs from the sender's, starting with the sender's own zone.
void Swim::compareDigests(Blackboard &board, const SwimMessage &message, TimePoint now, OutgoingMessages &out) const
{
    auto &state = board.membership.write();
    const bool isPullInProgress = state.pull.isActive && now - state.pull.sentAt < pullTimeout;
    if (isPullInProgress || message.digests.empty()) {
        return;
    }
    const auto own = allDigests(state);
    board::Pull pull;
    for (const auto &digest : message.digests) {
        const bool isSame = std::any_of(own.begin(), own.end(), [&](const ZoneDigest &known) {
            return known.zone == digest.zone && known.hash == digest.hash && known.count == digest.count;
        });
        if (isSame || digest.count == 0) {
            continue;
        }
        const bool isFirst = digest.zone == message.senderZone;
        pull.remainingZones.insert(isFirst ? pull.remainingZones.end() : pull.remainingZones.begin(), digest.zone);
    }
    if (pull.remainingZones.empty()) {
        return;
    }
    pull.peer = message.sender;
    pull.zone = pull.remainingZones.back();
    pull.remainingZones.pop_back();
    pull.isActive = true;
    state.pull = std::move(pull);
    this->sendPullRequest(board, out, now);
}
} // namespace figpulley::members
