#pragma once

#include "core/time.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace figpulley::members
{
/// Timing and limits of the membership protocol.
struct SwimOptions
{
    core::Duration probeInterval = std::chrono::seconds(1); ///< time between two probes
    core::Duration probeTimeout = std::chrono::milliseconds(300); ///< time without an ack after which other nodes ping the member
    core::Duration probeDeadline = std::chrono::milliseconds(900); ///< time without an ack after which the member becomes suspect
    core::Duration suspicionTimeout = std::chrono::seconds(4); ///< time after which a suspect member is declared dead
    core::Duration gossipInterval = std::chrono::milliseconds(200); ///< time between gossip messages while there are changes to send
    core::Duration exchangeInterval = std::chrono::seconds(5); ///< time between two exchanges of zone digests
    core::Duration joinInterval = std::chrono::seconds(1); ///< minimum time between two attempts to join through a seed
    core::Duration deadMemberLifetime = std::chrono::seconds(60); ///< time for which a dead member is kept
    int gossipFanout = 3; ///< number of nodes of the zone that receive each gossip message
    int indirectProbes = 3; ///< number of nodes that are requested to ping a member that has not acknowledged
    int bridgesPerZone = 3; ///< number of nodes of a zone that exchange members with other zones
    int pullPagesPerRequest = 4; ///< maximum number of pages sent in response to one pull request
    std::vector<std::string> seeds; ///< control addresses of nodes to join through
};
} // namespace figpulley::members
