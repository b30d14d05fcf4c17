#pragma once

#include "core/ids.h"

#include <string_view>
#include <vector>

namespace figpulley::members
{
/// Selects the holders of a role by rendezvous hashing. Every node computes the same order from the same membership, and the loss
/// of a node reassigns only the roles that this node held.
/// @param role name of the role
/// @param nodes candidates for the role
/// @param count number of holders
/// @returns up to `count` nodes, in descending order of their hash
[[nodiscard]] std::vector<core::NodeId> rendezvousOrder(std::string_view role, const std::vector<core::NodeId> &nodes, std::size_t count);
} // namespace figpulley::members
