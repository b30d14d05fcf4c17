#pragma once

#include "discovery/directory.h"

#include <string>
#include <string_view>
#include <vector>

namespace figpulley::discovery
{
/// Nodes of a zone that watch the store; the others ask one of them. A few watch for many, so that the store's load grows more slowly
/// than the fleet. Every node works them out from its own directory; where two disagree, the one that is asked and does not watch
/// refuses, and the other one turns to the store.
/// @returns nodes by ip:port of their ingress, in the order in which a node asks them
[[nodiscard]] std::vector<std::string> watchersOf(const Directory &directory, std::string_view zone, std::string_view asker);
} // namespace figpulley::discovery
