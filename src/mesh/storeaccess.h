#pragma once

#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace figpulley::mesh
{
/// Decides whether a node reads through a watcher or from the store itself. A watcher that does not answer is avoided for a while, and
/// the store is read instead. If the store does not answer this node either, it is away for all: then the watchers are asked first, so
/// that not every node lists the store at the moment at which it returns.
class StoreAccess
{
public:
    /// Returns the watcher to ask, or an empty text if the store has to be read.
    /// @param watchers watchers of the zone in the order of preference
    [[nodiscard]] std::string selectWatcher(const std::vector<std::string> &watchers, core::TimePoint now) const;

    /// Whether the store may be read after a watcher has not answered. The read is left out shortly after the store has failed.
    [[nodiscard]] bool mayReadStore(core::TimePoint now) const noexcept;

    /// Records that a watcher could not be reached.
    void watcherLost(const std::string &node, core::TimePoint now);

    /// Records that a watcher has refused, since the store does not answer it or since it does not watch.
    void watcherRefused(const std::string &node, core::TimePoint now);

    /// Records the result of a read from the store.
    void storeAnswered() noexcept;
    void storeFailed(core::TimePoint now);

private:
    std::map<std::string, core::TimePoint> lostUntil; // end of the avoidance time of watchers that could not be reached
    std::map<std::string, core::TimePoint> refusedUntil; // and of those that have refused
    core::TimePoint storeFailedAt {};
    bool hasStoreFailed = false;
};
} // namespace figpulley::mesh
