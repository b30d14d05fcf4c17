#pragma once

#include "core/ids.h"

#include <string>

namespace figpulley::board
{
/// Who this node is; fixed for the life of the process.
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
