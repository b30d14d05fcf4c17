#include "routing/clienttimeouthistory.h"

#include <algorithm>
#include <chrono>

namespace figpulley::routing
{
namespace
{
using namespace std::chrono_literals;

constexpr core::Duration windowLength = 10s; // longer than most client timeouts, so that a window contains first attempts
constexpr core::Duration latencyTolerance = 50ms; // differences caused by the latency between client and node
} // namespace

core::Duration ClientTimeoutHistory::estimateTimeSpent(const std::string &route, core::Duration remainingTimeout, core::TimePoint now)
{
    auto &maxTimeouts = this->routes[route];
    if (now - maxTimeouts.windowStart > windowLength) {
        maxTimeouts.previous = now - maxTimeouts.windowStart > 2 * windowLength ? core::Duration {} : maxTimeouts.current;
        maxTimeouts.current = {};
        maxTimeouts.windowStart = now;
    }
    maxTimeouts.current = std::max(maxTimeouts.current, remainingTimeout);
    const auto elapsed = std::max(maxTimeouts.current, maxTimeouts.previous) - remainingTimeout;
    return elapsed > latencyTolerance ? elapsed : core::Duration {};
}

void ClientTimeoutHistory::retain(const std::unordered_set<std::string> &configured)
{
    std::erase_if(this->routes, [&configured](const auto &entry) { return !configured.contains(entry.first); });
}

std::size_t ClientTimeoutHistory::size() const noexcept
{
    return this->routes.size();
}
} // namespace figpulley::routing
