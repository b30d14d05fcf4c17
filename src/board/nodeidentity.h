#pragma once

#include "core/ids.h"

#include <string>

namespace figpulley::board
{
/// Identity and addresses of this node; constant for the lifetime of the process.
struct NodeIdentity
{
    core::NodeId id {};
    core::Incarnation incarnation {};
    std::string service; ///< service of the upstream on this VM
    std::string availabilityZone;
    std::string ingressAddress; ///< ip:port for calls from other nodes
    std::string controlAddress; ///< ip:port for control datagrams
};
} // namespace figpulley::board
