#pragma once

#include "board/blackboard.h"
#include "core/time.h"

namespace figpulley::decide
{
/// Decides when this node stops taking work, and when a planned stop is complete.
class DrainController
{
public:
    /// Takes the upstream's own report.
    /// @returns whether the node's state has changed, so that it has to be announced
    bool upstreamReported(board::Blackboard &board, bool isDraining) const;

    /// Begins a planned stop; has no effect if one has begun.
    void requestStop(board::Blackboard &board, core::TimePoint now) const;

    /// Whether a planned stop may end the process: callers have had time to learn of it, and nothing is in flight.
    [[nodiscard]] bool isStopComplete(const board::Blackboard &board, core::TimePoint now) const noexcept;

    /// Whether a planned stop has used up the operator's limit.
    [[nodiscard]] bool isStopOverdue(const board::Blackboard &board, core::TimePoint now) const noexcept;
};
} // namespace figpulley::decide
