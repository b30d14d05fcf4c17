#pragma once

#include "core/ids.h"

#include <string_view>
#include <vector>

namespace figpulley::members
{
/// Orders nodes for a role: the first few of the order hold it. Every node computes the same order from the same
/// membership, and the loss of one node moves only its own roles.
/// @param role name of the role
/// @param nodes candidates
/// @param count how many are wanted
/// @returns up to `count` nodes, the first holder at the front
[[nodiscard]] std::vector<core::NodeId> rendezvousOrder(std::string_view role, const std::vector<core::NodeId> &nodes, std::size_t count);
} // namespace figpulley::members
