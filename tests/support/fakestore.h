#pragma once

#include "core/random.h"
#include "standin/objecttable.h"
#include "sync/manifest.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace figpulley::tests
{
/// In-memory object store that completes calls immediately and injects failures that a test selects.
class FakeStore : public store::ObjectStore
{
public:
    void get(const std::string &key, Callback callback) override
    {
        ++this->calls;
        if (this->isDown || this->drawFailure()) {
            callback({core::ErrorKind::PlatformUnavailable, {}});
            return;
        }
        callback(this->table.get(key));
    }

    void put(const std::string &key, const std::string &value, store::WriteCondition condition, Callback callback) override
    {
        ++this->calls;
        const bool isRoot = key == sync::rootKey;
        if (isRoot && this->beforeRootWrite) {
            this->beforeRootWrite();
        }
        if (this->isDown || this->writesBeforeFailure == 0 || this->drawFailure()) {
            callback({core::ErrorKind::PlatformUnavailable, {}});
            return;
        }
        this->writesBeforeFailure -= this->writesBeforeFailure > 0 ? 1 : 0;
        const auto result = this->table.put(key, value, condition);
        const bool isLost = (isRoot && this->rootResponsesToLose > 0) || this->drawFailure();
        this->rootResponsesToLose -= isRoot && this->rootResponsesToLose > 0 ? 1 : 0;
        callback(isLost ? store::StoreResult {core::ErrorKind::PlatformOutcomeUnknown, {}} : result);
    }

    void watch(const std::string &key, std::uint64_t known, core::Duration /*timeout*/, Callback callback) override
    {
        ++this->calls;
        const auto present = this->table.get(key);
        if (this->isDown) {
            callback({core::ErrorKind::PlatformUnavailable, {}});
        } else if (present.object.version != known) {
            callback(present);
        } else {
            this->watchers.push_back(std::move(callback));
        }
    }

    void list(const std::string &prefix, ListCallback callback) override
    {
        callback(this->table.list(prefix));
    }

    /// Completes all pending watches with the current object, as their timeout does.
    void completeWatches()
    {
        const auto waiting = std::move(this->watchers);
        this->watchers.clear();
        for (const auto &callback : waiting) {
            callback(this->isDown ? store::StoreResult {core::ErrorKind::PlatformUnavailable, {}}
                                  : this->table.get(std::string(sync::rootKey)));
        }
    }

    /// Makes a random fraction of the reads and writes fail; a write may fail before or after it took effect.
    void failRandomly(std::uint32_t seed, int percent)
    {
        this->random.seed(seed);
        this->failurePercent = percent;
    }

    standin::ObjectTable table;
    std::function<void()> beforeRootWrite;
    int rootResponsesToLose = 0; ///< number of root writes that succeed but report an unknown outcome
    int writesBeforeFailure = -1; ///< number of writes that succeed before all others fail; negative for no limit
    bool isDown = false;
    std::uint64_t calls = 0;

private:
    bool drawFailure()
    {
        return this->failurePercent > 0 && static_cast<int>(this->random() % 100) < this->failurePercent;
    }

    std::vector<Callback> watchers;
    core::Random random;
    int failurePercent = 0;
};

/// Runs callbacks in virtual time, in the order in which they are due.
class FakeTimers
{
public:
    void schedule(core::Duration delay, std::function<void()> callback)
    {
        this->pending.emplace(this->now + delay, std::move(callback));
    }

    /// Advances the virtual time and runs the callbacks that fall due.
    void advance(core::Duration length)
    {
        const auto end = this->now + length;
        while (!this->pending.empty() && this->pending.begin()->first <= end) {
            const auto next = this->pending.begin();
            this->now = next->first;
            const auto callback = std::move(next->second);
            this->pending.erase(next);
            callback();
        }
        this->now = end;
    }

private:
    core::Duration now {};
    std::multimap<core::Duration, std::function<void()>> pending;
};
} // namespace figpulley::tests
