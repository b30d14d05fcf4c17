#pragma once

#include "explain/logline.h"

#include <string>
#include <string_view>
#include <vector>

namespace figpulley::explain
{
/// The log lines about one request from all nodes that handled it, and the cause of its failure.
struct RequestTrace
{
    std::vector<LogLine> lines; ///< sorted by time
    std::string cause; ///< description of the cause in one line
};

/// Selects the log lines about a request and determines the cause of its failure.
/// @param lines log lines of all nodes, in any order
/// @param requestId id of the attempt, as sent by the client
[[nodiscard]] RequestTrace traceRequest(const std::vector<LogLine> &lines, std::string_view requestId);
} // namespace figpulley::explain
