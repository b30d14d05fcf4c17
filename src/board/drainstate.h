#pragma once

#include "core/time.h"

#include <optional>

namespace figpulley::board
{
/// Whether this node accepts new calls. Writer: DrainController.
struct DrainState
{
    bool isUpstreamDraining = false; ///< whether the upstream reports that it is draining
    std::optional<core::TimePoint> stopRequested; ///< start of a planned stop of the node, if any

    [[nodiscard]] bool isLeaving() const noexcept
    {
        return this->isUpstreamDraining || this->stopRequested.has_value();
    }
};
} // namespace figpulley::board
