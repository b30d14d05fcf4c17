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

constexpr core::Duration watchTime = 30s;
constexpr core::Duration firstBackoff = 200ms;
constexpr core::Duration largestBackoff = 5s; // leaves room within the 13 s for a change that waits out an outage
constexpr int largestDoubling = 6;
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
    return this->olderRoot;
}

void ConfigRelay::watch()
{
    if (!this->isActive) {
        this->isWatching = false;
        return;
    }
    // Re-armed watches of many relays drift apart, since each waits a different time.
    const auto jitter = core::Duration(static_cast<std::int64_t>(core::uniform(this->random) * static_cast<double>(watchTime.count()) / 3));
    const auto timeout = watchTime - jitter;
    const auto take = [weak = this->weak_from_this()](const StoreResult &result) {
        if (const auto self = weak.lock()) {
            self->takeRoot(result);
        }
    };
    if (this->knownVersion == 0) {
        this->store.get(std::string(rootKey), take);
    } else {
        this->store.watch(std::string(rootKey), this->knownVersion, timeout, take);
    }
}

void ConfigRelay::takeRoot(const StoreResult &result)
{
    const bool isAnswered = result.kind == ErrorKind::None || result.kind == ErrorKind::NotFound;
    this->isReachable = isAnswered;
    if (!isAnswered || result.kind == ErrorKind::NotFound) {
        this->retryLater();
        return;
    }
    this->failures = 0;
    if (result.object.value.empty()) {
        this->watchAgain();
        return;
    }
    auto manifest = decodeManifest(result.object.value);
    if (!manifest) {
        core::log(core::LogLevel::Error, "config.root_malformed");
        this->retryLater();
        return;
    }
    const auto own = this->snapshots.current().manifest.revision;
    this->olderRoot = manifest->revision < own ? manifest->revision : 0;
    if (this->olderRoot != 0) {
        core::log(core::LogLevel::Error, "config.platform_older",
                  {{"platform_revision", fmt::to_string(manifest->revision)}, {"revision", fmt::to_string(own)}});
    }
    if (manifest->revision <= own) {
        this->knownVersion = result.object.version;
        this->watchAgain();
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
    // The version counts as known only when all parts are here; until then a failure reads the root again.
    this->knownVersion = 0;
    this->fetchMissing(snapshot);
    if (snapshot->missing().empty()) {
        this->knownVersion = result.object.version;
    }
}

void ConfigRelay::fetchMissing(const std::shared_ptr<Snapshot> &snapshot)
{
    const auto missing = snapshot->missing();
    if (missing.empty()) {
        this->deliver(*snapshot);
        this->watchAgain();
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
            self->retryLater();
            return;
        }
        snapshot->texts[hash] = result.object.value;
        self->fetchMissing(snapshot);
    });
}

void ConfigRelay::retryLater()
{
    const auto bound = std::min(largestBackoff, firstBackoff * (1 << std::min(this->failures, largestDoubling)));
    ++this->failures;
    const auto wait =
        bound / 2 + core::Duration(static_cast<std::int64_t>(core::uniform(this->random) * static_cast<double>(bound.count()) / 2));
    this->schedule(wait, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->watch();
        }
    });
}

// Through the timer, so that a store that answers at once does not recurse.
void ConfigRelay::watchAgain()
{
    this->schedule(core::Duration {1}, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->watch();
        }
    });
}
} // namespace figpulley::sync
