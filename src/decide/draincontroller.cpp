#include "decide/draincontroller.h"

#include "decide/admissioncontroller.h"

#include <chrono>

namespace figpulley::decide
{
namespace
{
using namespace std::chrono_literals;

// Callers that have not yet heard of the stop get their refusals answered in this time instead of a closed port.
constexpr core::Duration announcementTime = 1s;
} // namespace

bool DrainController::upstreamReported(board::Blackboard &board, bool isDraining) const
{
    auto &state = board.drain.write();
    const bool wasLeaving = state.isLeaving();
    state.isUpstreamDraining = isDraining;
    return state.isLeaving() != wasLeaving;
}

void DrainController::requestStop(board::Blackboard &board, core::TimePoint now) const
{
    auto &state = board.drain.write();
    if (!state.stopRequested) {
        state.stopRequested = now;
    }
}

bool DrainController::isStopComplete(const board::Blackboard &board, core::TimePoint now) const noexcept
{
    const auto &requested = board.drain.read().stopRequested;
    const bool isIdle = board.ledger.read().entries.empty() && board.calls.read().calls.empty();
    return requested && isIdle && now - *requested >= announcementTime;
}

bool DrainController::isStopOverdue(const board::Blackboard &board, core::TimePoint now) const noexcept
{
    const auto &requested = board.drain.read().stopRequested;
    return requested && now - *requested >= ownPolicy(board).drain;
}
} // namespace figpulley::decide
