#pragma once

#include "discovery/directory.h"

#include <string>
#include <string_view>
#include <vector>

namespace figpulley::discovery
{
/// Selects the successors of a node: the next nodes on a hash ring of all nodes, then the next one on the ring of its zone, so that a zone
/// that is cut off has one of its own. Nodes whose endpoint is gone are passed over.
/// @param node ip:port of the node's ingress; it need not be in the directory
/// @returns ip:port of the successors' ingresses, each once
[[nodiscard]] std::vector<std::string> selectSuccessors(const Directory &directory, std::string_view node, std::string_view zone);

/// Selects the nodes that have a given node as a successor, with endpoints in any state.
/// @param node ip:port of the node's ingress; none is returned if its endpoint is gone or not in the directory
[[nodiscard]] std::vector<const KnownEndpoint *> selectPredecessors(const Directory &directory, std::string_view node);
} // namespace figpulley::discovery
