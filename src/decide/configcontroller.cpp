#include "decide/configcontroller.h"

namespace figpulley::decide
{
bool ConfigController::applyIfNewer(board::Blackboard &board, config::ConfigurationPtr configuration) const
{
    auto &state = board.config.write();
    if (state.current && configuration->revision <= state.current->revision) {
        return false;
    }
    state.current = std::move(configuration);
    return true;
}
} // namespace figpulley::decide
