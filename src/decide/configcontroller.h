#pragma once

#include "board/blackboard.h"

namespace figpulley::decide
{
/// Puts configurations in force on this node.
class ConfigController
{
public:
    /// Puts a configuration in force unless an equal or newer one is.
    /// @param configuration compiled files, not null
    /// @returns whether it is in force now because of this call
    bool offer(board::Blackboard &board, config::ConfigurationPtr configuration) const;
};
} // namespace figpulley::decide
