#pragma once

#include "core/time.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace figpulley::members
{
/// Timing and bounds of the membership protocol.
struct SwimOptions
{
    core::Duration probeInterval = std::chrono::seconds(1);
    core::Duration probeTimeout = std::chrono::milliseconds(300); ///< until third nodes are asked
    core::Duration probeDeadline = std::chrono::milliseconds(900); ///< until the member is suspect
    core::Duration suspicion = std::chrono::seconds(4); ///< until a suspect is dead
    core::Duration gossipInterval = std::chrono::milliseconds(200); ///< only while there is news
    core::Duration exchangeInterval = std::chrono::seconds(5); ///< between digests sent to another zone
    core::Duration joinInterval = std::chrono::seconds(1); ///< between tries to reach a seed
    core::Duration tombstone = std::chrono::seconds(60); ///< how long the dead are remembered
    int gossipFanout = 3;
    int indirectProbes = 3;
    int bridges = 3; ///< nodes of a zone that exchange with other zones
    int pullPagesPerRequest = 4;
    std::vector<std::string> seeds; ///< control addresses to join by
};
} // namespace figpulley::members
