#pragma once

#include "config/configuration.h"

namespace figpulley::board
{
/// The configuration in force. Writer: ConfigController.
struct ConfigState
{
    config::ConfigurationPtr current; ///< null until the first write
};
} // namespace figpulley::board
