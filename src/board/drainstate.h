#pragma once

#include "core/time.h"

#include <optional>

namespace figpulley::board
{
/// Whether this node takes new work. Writer: DrainController.
struct DrainState
{
    bool isUpstreamDraining = false; ///< the upstream's own report
    std::optional<core::TimePoint> stopRequested; ///< when a planned stop of the node began

    [[nodiscard]] bool isLeaving() const noexcept
    {
        return this->isUpstreamDraining || this->stopRequested.has_value();
    }
};
} // namespace figpulley::board
