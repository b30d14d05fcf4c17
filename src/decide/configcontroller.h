#pragma once

#include "board/blackboard.h"

namespace figpulley::decide
{
/// Activates configurations on this node.
class ConfigController
{
public:
    /// Activates a configuration unless the active one has the same or a newer revision.
    /// @param configuration compiled configuration, not null
    /// @returns whether this call activated it
    bool applyIfNewer(board::Blackboard &board, config::ConfigurationPtr configuration) const;
};
} // namespace figpulley::decide
