#pragma once

#include "core/random.h"
#include "store/objectstore.h"
#include "sync/snapshotstore.h"

#include <functional>
#include <memory>

namespace figpulley::sync
{
/// Brings new revisions from the platform to a node that holds the relay role of its zone.
///
/// One watch is open at a time. Failures are retried with growing, jittered waits, so that neither an outage nor
/// its end brings all relays to the platform at once.
class ConfigRelay : public std::enable_shared_from_this<ConfigRelay>
{
public:
    using Schedule = std::function<void(core::Duration, std::function<void()>)>;
    using Deliver = std::function<void(Snapshot)>;

    /// @param store the platform
    /// @param schedule calls back after a time
    /// @param snapshots what the node has; texts it holds are not fetched again
    /// @param deliver takes each newer snapshot
    ConfigRelay(store::ObjectStore &store, Schedule schedule, const SnapshotStore &snapshots, Deliver deliver, std::uint64_t seed);

    /// Takes or gives up the role; the watch that is open ends by itself.
    void setActive(bool isActive);

    /// Whether the platform answered the last call.
    [[nodiscard]] bool isPlatformReachable() const noexcept;

    /// Revision of the platform's root if it is older than the one in force here; 0 otherwise.
    [[nodiscard]] std::uint64_t olderRootRevision() const noexcept;

private:
    void watch();
    void takeRoot(const store::StoreResult &result);
    void fetchMissing(const std::shared_ptr<Snapshot> &snapshot);
    void retryLater();
    void watchAgain();

    store::ObjectStore &store;
    Schedule schedule;
    const SnapshotStore &snapshots;
    Deliver deliver;
    core::Random random;
    bool isActive = false;
    bool isWatching = false;
    bool isReachable = false;
    std::uint64_t knownVersion = 0;
    std::uint64_t olderRoot = 0;
    int failures = 0;
};
} // namespace figpulley::sync
