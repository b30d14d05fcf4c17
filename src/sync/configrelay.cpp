#include "sync/configrelay.h"

#include "core/log.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

namespace figpulley::sync
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;
using store::StoreResult;

constexpr core::Duration maxWatchTime = 30s;
constexpr core::Duration initialBackoff = 200ms;
// The limit on the backoff lets a change that is made during an outage take effect within 13 s after the outage.
constexpr core::Duration maxBackoff = 5s;
constexpr int maxBackoffDoublings = 6;
} // namespace

ConfigRelay::ConfigRelay(store::ObjectStore &store, Schedule schedule, const SnapshotStore &snapshots, Deliver deliver, std::uint64_t seed)
    : store(store)
    , schedule(std::move(schedule))
    , snapshots(snapshots)
    , deliver(std::move(deliver))
    , random(seed)
{
}

void ConfigRelay::setActive(bool active)
{
    this->isActive = active;
    if (active && !this->isWatching) {
        this->isWatching = true;
        this->watch();
    }
}

bool ConfigRelay::isPlatformReachable() const noexcept
{
    return this->isReachable;
}

std::uint64_t ConfigRelay::olderRootRevision() const noexcept
{
    return this->olderRevision;
}

void ConfigRelay::watch()
{
    if (!this->isActive) {
        this->isWatching = false;
        return;
    }
    // The random timeout prevents the watches of many relays from being renewed at the same time.
    const auto jitter =
        core::Duration(static_cast<std::int64_t>(core::uniform(this->random) * static_cast<double>(maxWatchTime.count()) / 3));
    const auto timeout = maxWatchTime - jitter;
    const auto onRoot = [weak = this->weak_from_this()](const StoreResult &result) {
        if (const auto self = weak.lock()) {
            self->handleRoot(result);
        }
    };
    if (this->knownVersion == 0) {
        this->store.get(std::string(rootKey), onRoot);
    } else {
        this->store.watch(std::string(rootKey), this->knownVersion, timeout, onRoot);
    }
}

void ConfigRelay::handleRoot(const StoreResult &result)
{
    const bool hasResponse = result.kind == ErrorKind::None || result.kind == ErrorKind::NotFound;
    this->isReachable = hasResponse;
    if (!hasResponse || result.kind == ErrorKind::NotFound) {
        this->scheduleRetry();
        return;
    }
    this->failures = 0;
    if (result.object.value.empty()) {
        this->scheduleWatch();
        return;
    }
    auto manifest = decodeManifest(result.object.value);
    if (!manifest) {
        core::log(core::LogLevel::Error, "config.root_malformed");
        this->scheduleRetry();
        return;
    }
    const auto own = this->snapshots.current().manifest.revision;
    this->olderRevision = manifest->revision < own ? manifest->revision : 0;
    if (this->olderRevision != 0) {
        core::log(core::LogLevel::Error, "config.platform_older",
                  {{"platform_revision", fmt::to_string(manifest->revision)}, {"revision", fmt::to_string(own)}});
    }
    if (manifest->revision <= own) {
        this->knownVersion = result.object.version;
        this->scheduleWatch();
        return;
    }
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->manifest = std::move(*manifest);
    for (const auto &part : snapshot->manifest.parts) {
        const auto &texts = this->snapshots.current().texts;
        const auto known = texts.find(part.hash);
        if (known != texts.end()) {
            snapshot->texts.insert(*known);
        }
    }
    // The version is recorded as known only if no part is missing when fetchMissing returns. Otherwise the root is read again after the
    // fetches, so that a failed fetch is repeated.
    this->knownVersion = 0;
    this->fetchMissing(snapshot);
    if (snapshot->missingHashes().empty()) {
        this->knownVersion = result.object.version;
    }
}

void ConfigRelay::fetchMissing(const std::shared_ptr<Snapshot> &snapshot)
{
    const auto missing = snapshot->missingHashes();
    if (missing.empty()) {
        this->deliver(*snapshot);
        this->scheduleWatch();
        return;
    }
    const auto &hash = missing.front();
    this->store.get(partKey(hash), [weak = this->weak_from_this(), snapshot, hash](const StoreResult &result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const bool isIntact = result.kind == ErrorKind::None && contentHash(result.object.value) == hash;
        if (!isIntact) {
            self->scheduleRetry();
            return;
        }
        snapshot->texts[hash] = result.object.value;
        self->fetchMissing(snapshot);
    });
}

void ConfigRelay::scheduleRetry()
{
    const auto bound = std::min(maxBackoff, initialBackoff * (1 << std::min(this->failures, maxBackoffDoublings)));
    ++this->failures;
    const auto wait =
        bound / 2 + core::Duration(static_cast<std::int64_t>(core::uniform(this->random) * static_cast<double>(bound.count()) / 2));
    this->schedule(wait, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->watch();
        }
    });
}

// Starts the next watch from a timer, because a store that calls back immediately would cause unbounded recursion.
void ConfigRelay::scheduleWatch()
{
    this->schedule(core::Duration {1}, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->watch();
        }
    });
}
} // namespace figpulley::sync
