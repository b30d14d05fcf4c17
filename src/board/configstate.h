#pragma once

#include "config/configuration.h"

namespace figpulley::board
{
/// The configuration in force. Writer: ConfigController.
struct ConfigState
{
    config::ConfigurationPtr current; ///< null before the first configuration
};
} // namespace figpulley::board
