#include "decide/attempttable.h"

#include <chrono>

namespace figpulley::decide
{
namespace
{
using namespace std::chrono_literals;

// A copy can arrive as late as the sender's connection lives; senders give up at the deadline.
constexpr core::Duration keptAfterDeadline = 30s;
} // namespace

AttemptVerdict AttemptTable::remember(board::Blackboard &board, core::AttemptId id, core::TimePoint deadline, core::TimePoint now) const
{
    auto &state = board.attempts.write();
    this->forgetOld(state, now);
    if (state.ids.contains(core::value(id))) {
        return AttemptVerdict::Duplicate;
    }
    if (state.ids.size() >= capacity) {
        return AttemptVerdict::Full;
    }
    state.ids.insert(core::value(id));
    state.order.push_back({core::value(id), deadline + keptAfterDeadline});
    return AttemptVerdict::New;
}

// The order is by arrival and not by expiry, so an id may be kept longer than needed, never shorter.
void AttemptTable::forgetOld(board::AttemptState &state, core::TimePoint now) const
{
    while (!state.order.empty() && state.order.front().expiresAt <= now) {
        state.ids.erase(state.order.front().id);
        state.order.pop_front();
    }
}
} // namespace figpulley::decide
