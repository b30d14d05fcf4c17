#include "decide/draincontroller.h"

#include "decide/admissioncontroller.h"

#include <chrono>

namespace figpulley::decide
{
namespace
{
using namespace std::chrono_literals;

// Minimum time that the node still accepts connections after a stop request. Callers that do not know of the stop yet get a refusal
// instead of a closed port.
constexpr core::Duration minAnnouncementTime = 1s;
} // namespace

bool DrainController::setUpstreamDraining(board::Blackboard &board, bool isDraining) const
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
    return requested && isIdle && now - *requested >= minAnnouncementTime;
}

bool DrainController::isStopOverdue(const board::Blackboard &board, core::TimePoint now) const noexcept
{
    const auto &requested = board.drain.read().stopRequested;
    return requested && now - *requested >= localServicePolicy(board).drain;
}
} // namespace figpulley::decide
