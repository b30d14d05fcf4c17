#include "decide/attempttable.h"

#include <chrono>

namespace figpulley::decide
{
namespace
{
using namespace std::chrono_literals;

// Time for which an id is kept after the deadline of its call. A duplicate can arrive as long as the sender's connection is open, and
// senders give up at the deadline.
constexpr core::Duration retentionAfterDeadline = 30s;
} // namespace

AttemptRecordResult AttemptTable::recordAttempt(board::Blackboard &board, core::AttemptId id, core::TimePoint deadline,
                                                core::TimePoint now) const
{
    auto &state = board.attempts.write();
    this->removeExpired(state, now);
    if (state.ids.contains(core::value(id))) {
        return AttemptRecordResult::Duplicate;
    }
    if (state.ids.size() >= capacity) {
        return AttemptRecordResult::Full;
    }
    state.ids.insert(core::value(id));
    state.order.push_back({core::value(id), deadline + retentionAfterDeadline});
    return AttemptRecordResult::New;
}

// Ids are removed in order of arrival, not of expiry, so an id may be kept longer than needed but never shorter.
void AttemptTable::removeExpired(board::AttemptState &state, core::TimePoint now) const
{
    while (!state.order.empty() && state.order.front().expiresAt <= now) {
        state.ids.erase(state.order.front().id);
        state.order.pop_front();
    }
}
} // namespace figpulley::decide
