#pragma once

#include "core/random.h"
#include "store/objectstore.h"
#include "sync/snapshotstore.h"

#include <functional>
#include <memory>

namespace figpulley::sync
{
/// Fetches new configuration revisions from the platform for a node that holds the relay role of its zone.
///
/// One watch is open at a time. Failed calls are retried with exponential backoff and jitter, so that the relays do not call the
/// platform all at once during an outage or after it.
class ConfigRelay : public std::enable_shared_from_this<ConfigRelay>
{
public:
    using Schedule = std::function<void(core::Duration, std::function<void()>)>;
    using Deliver = std::function<void(Snapshot)>;

    /// @param store the platform
    /// @param schedule calls a function after a delay
    /// @param snapshots snapshots that the node has; their texts are not fetched again
    /// @param deliver receives each newer snapshot
    /// @param seed seed of the random number generator for the jitter
    ConfigRelay(store::ObjectStore &store, Schedule schedule, const SnapshotStore &snapshots, Deliver deliver, std::uint64_t seed);

    /// Starts or stops watching the platform. After a stop, an open watch runs until it completes or times out.
    void setActive(bool isActive);

    /// Returns whether the platform responded to the last read or watch of the root.
    [[nodiscard]] bool isPlatformReachable() const noexcept;

    /// Returns the revision of the platform's root if it is older than the one in force at this node, and 0 otherwise.
    [[nodiscard]] std::uint64_t olderRootRevision() const noexcept;

private:
    void watch();
    void handleRoot(const store::StoreResult &result);
    void fetchMissing(const std::shared_ptr<Snapshot> &snapshot);
    void scheduleRetry();
    void scheduleWatch();

    store::ObjectStore &store;
    Schedule schedule;
    const SnapshotStore &snapshots;
    Deliver deliver;
    core::Random random;
    bool isActive = false;
    bool isWatching = false;
    bool isReachable = false;
    std::uint64_t knownVersion = 0;
    std::uint64_t olderRevision = 0;
    int failures = 0;
};
} // namespace figpulley::sync
