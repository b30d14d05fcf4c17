#include "routing/patiencehistory.h"

#include <algorithm>
#include <chrono>

namespace figpulley::routing
{
namespace
{
using namespace std::chrono_literals;

constexpr core::Duration span = 10s; // longer than most clients' patience, so that it holds first attempts
constexpr core::Duration unnoticed = 50ms; // differences that the way from a client makes
} // namespace

core::Duration PatienceHistory::spent(const std::string &route, core::Duration patience, core::TimePoint now)
{
    auto &longest = this->routes[route];
    if (now - longest.since > span) {
        longest.earlier = now - longest.since > 2 * span ? core::Duration {} : longest.recent;
        longest.recent = {};
        longest.since = now;
    }
    longest.recent = std::max(longest.recent, patience);
    const auto difference = std::max(longest.recent, longest.earlier) - patience;
    return difference > unnoticed ? difference : core::Duration {};
}
} // namespace figpulley::routing
