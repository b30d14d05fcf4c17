#include "mesh/storeaccess.h"

#include <algorithm>
#include <chrono>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;

// Afterwards the directory shows whether the watcher is gone.
constexpr core::Duration avoidanceTime = 3s;
// At most one more attempt of a follower falls into it, so that a node whose watcher is cut off from the store still catches up within 2 s.
constexpr core::Duration storeFailureTime = 700ms;

bool isAvoided(const std::map<std::string, core::TimePoint> &until, const std::string &node, core::TimePoint now)
{
    const auto found = until.find(node);
    return found != until.end() && now < found->second;
}
} // namespace

std::string StoreAccess::selectWatcher(const std::vector<std::string> &watchers, core::TimePoint now) const
{
    const auto usable = std::find_if(watchers.begin(), watchers.end(), [&](const std::string &node) {
        return !isAvoided(this->lostUntil, node, now) && !isAvoided(this->refusedUntil, node, now);
    });
    return usable == watchers.end() ? std::string() : *usable;
}

bool StoreAccess::mayReadStore(core::TimePoint now) const noexcept
{
    return !this->hasStoreFailed || now - this->storeFailedAt >= storeFailureTime;
}

void StoreAccess::watcherLost(const std::string &node, core::TimePoint now)
{
    this->lostUntil[node] = now + avoidanceTime;
}

void StoreAccess::watcherRefused(const std::string &node, core::TimePoint now)
{
    // While the store fails for this node too, the watcher's refusal shows nothing about the watcher.
    if (this->mayReadStore(now)) {
        this->refusedUntil[node] = now + avoidanceTime;
    }
}

void StoreAccess::storeAnswered() noexcept
{
    this->hasStoreFailed = false;
}

void StoreAccess::storeFailed(core::TimePoint now)
{
    this->hasStoreFailed = true;
    this->storeFailedAt = now;
    this->refusedUntil.clear();
}
} // namespace figpulley::mesh
