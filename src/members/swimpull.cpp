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

void Swim::answerPull(Blackboard &board, const SwimMessage &message, OutgoingList &out) const
{
    const auto &state = board.membership.read();
    std::vector<const Announcement *> wanted;
    const auto select = [&](const Announcement &announcement) {
        const bool isZone = message.zone.empty() || announcement.availabilityZone == message.zone;
        if (isZone && core::value(announcement.node) > message.cursor) {
            wanted.push_back(&announcement);
        }
    };
    select(state.self);
    for (const auto &[id, member] : state.members) {
        select(member.announcement);
    }
    std::sort(wanted.begin(), wanted.end(), [](const Announcement *left, const Announcement *right) { return left->node < right->node; });
    std::size_t next = 0;
    for (int page = 0; page < this->options.pullPagesPerRequest; ++page) {
        auto answer = this->compose(board, SwimKind::PullAnswer);
        answer.zone = message.zone;
        answer.cursor = message.cursor;
        auto room = largestMessage - messageOverhead;
        while (next < wanted.size() && encodedSize(*wanted[next]) <= room) {
            room -= encodedSize(*wanted[next]);
            answer.cursor = core::value(wanted[next]->node);
            answer.announcements.push_back(*wanted[next]);
            ++next;
        }
        answer.isLastPage = next == wanted.size();
        // Only the last datagram of a batch asks the other side to go on.
        answer.sequence = page + 1 == this->options.pullPagesPerRequest || answer.isLastPage ? 1 : 0;
        const bool isEnd = answer.isLastPage;
        out.push_back({message.sender, std::move(answer)});
        if (isEnd) {
            break;
        }
    }
}

void Swim::sendPull(Blackboard &board, OutgoingList &out, TimePoint now) const
{
    auto &state = board.membership.write();
    auto request = this->compose(board, SwimKind::PullRequest);
    request.zone = state.pull.zone;
    request.cursor = state.pull.cursor;
    // The asker introduces itself, so that a joining node becomes known where it asks.
    request.announcements.push_back(state.self);
    state.pull.sentAt = now;
    out.push_back({state.pull.peer, std::move(request)});
}

void Swim::continuePull(Blackboard &board, const SwimMessage &message, TimePoint now, OutgoingList &out) const
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
        this->endPull(board, message, now, out);
    } else if (message.sequence == 1) {
        this->sendPull(board, out, now);
    }
}

// A member of a foreign zone has told all that it knows of its zone: whom it did not name is gone. The own zone is judged by
// probes instead.
void Swim::endPull(Blackboard &board, const SwimMessage &message, TimePoint now, OutgoingList &out) const
{
    auto &state = board.membership.write();
    auto &pull = state.pull;
    const bool isAuthority = !pull.zone.empty() && message.senderZone == pull.zone && pull.zone != state.self.availabilityZone;
    if (isAuthority) {
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
    this->sendPull(board, out, now);
}

// Fetches each zone whose fingerprint differs from the sender's, the sender's own zone first.
void Swim::compareDigests(Blackboard &board, const SwimMessage &message, TimePoint now, OutgoingList &out) const
{
    auto &state = board.membership.write();
    const bool isBusy = state.pull.isActive && now - state.pull.sentAt < pullTimeout;
    if (isBusy || message.digests.empty()) {
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
    this->sendPull(board, out, now);
}
} // namespace figpulley::members
