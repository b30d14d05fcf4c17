#pragma once

#include "explain/logline.h"

#include <string>
#include <string_view>
#include <vector>

namespace figpulley::explain
{
/// What logs tell about one request, on all nodes that it has passed.
struct RequestStory
{
    std::vector<LogLine> lines; ///< in the order of time
    std::string cause; ///< one sentence
};

/// Collects the lines about a request and names the cause of its failure.
/// @param lines of all nodes, in any order
/// @param requestId as the client has sent it
[[nodiscard]] RequestStory explain(const std::vector<LogLine> &lines, std::string_view requestId);
} // namespace figpulley::explain
