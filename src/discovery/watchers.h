#pragma once

#include "discovery/directory.h"

#include <string>
#include <string_view>
#include <vector>

namespace figpulley::discovery
{
/// Selects the nodes of a zone that watch the store; the other nodes request the changes from one of them, so that the store's load
/// grows more slowly than the number of nodes. Every node selects from its own directory. If two directories differ, a node that does
/// not watch the store refuses the request, and the requester reads from the store itself.
/// @param requester ip:port of the ingress of the node that requests changes
/// @returns ip:port of the watchers' ingresses, in the order in which the requester tries them
[[nodiscard]] std::vector<std::string> selectWatchers(const Directory &directory, std::string_view zone, std::string_view requester);
} // namespace figpulley::discovery
