#pragma once

#include "discovery/directory.h"

#include <string>
#include <string_view>
#include <vector>

namespace figpulley::discovery
{
/// Selects the nodes of a zone that watch the store; the other nodes request the changes from one of them, so that the store's load
/// grows more slowly than the number of nodes. Every node selects from its own directory. If two directories differ, a node that does
/// not watch the store answers with what it has learned from its own watcher.
/// @param requester ip:port of the ingress of the node that requests changes
/// @returns ip:port of the watchers' ingresses, in the order in which the requester tries them
[[nodiscard]] std::vector<std::string> selectWatchers(const Directory &directory, std::string_view zone, std::string_view requester);

/// Selects the nodes from which a node requests the changes: the watchers of its zone, then one more node that takes over when they fail.
/// A node that others may know is asked only by nodes of a lower score, so that two nodes whose directories differ never wait for each
/// other.
/// @param isAnnounced whether the requester has a record of its own, so that other nodes may request changes from it
/// @returns ip:port of the nodes' ingresses in the order in which they are asked; empty if the requester has to read the store
[[nodiscard]] std::vector<std::string> selectSources(const Directory &directory, std::string_view zone, std::string_view requester,
                                                     bool isAnnounced);
} // namespace figpulley::discovery
