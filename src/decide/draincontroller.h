#pragma once

#include "board/blackboard.h"
#include "core/time.h"

namespace figpulley::decide
{
/// Decides when this node stops accepting calls, and when a planned stop is complete.
class DrainController
{
public:
    /// Records the upstream's report of whether it is draining.
    /// @returns whether the state of the node has changed and must be announced
    bool setUpstreamDraining(board::Blackboard &board, bool isDraining) const;

    /// Begins a planned stop; has no effect if one is in progress.
    void requestStop(board::Blackboard &board, core::TimePoint now) const;

    /// Whether a planned stop may end the process: the announcement had time to reach the callers, and no call is in flight.
    [[nodiscard]] bool isStopComplete(const board::Blackboard &board, core::TimePoint now) const noexcept;

    /// Whether a planned stop has exceeded the drain time of the policy.
    [[nodiscard]] bool isStopOverdue(const board::Blackboard &board, core::TimePoint now) const noexcept;
};
} // namespace figpulley::decide
