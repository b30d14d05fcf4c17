#include "mesh/collectionfollower.h"

#include "core/log.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;

constexpr core::Duration minBackoff = 150ms;
constexpr core::Duration maxBackoff = 800ms; // less than half of the 2 s within which a node has to catch up after an outage
constexpr int maxDoublings = 4;
constexpr int watchesBeforeList = 3; // number of consecutive watches with changes after which a list replaces the next watch
} // namespace

CollectionFollower::CollectionFollower(store::CollectionStore &store, std::string collection, CollectionListener listener,
                                       Scheduler schedule, core::Random &random, std::function<core::Duration()> watchTimeout,
                                       core::Duration changeDelay)
    : store(store)
    , collection(std::move(collection))
    , listener(std::move(listener))
    , schedule(std::move(schedule))
    , random(random)
    , watchTimeout(std::move(watchTimeout))
    , changeDelay(changeDelay)
{
}

void CollectionFollower::start()
{
    this->requestPage({});
}

void CollectionFollower::requestPage(const std::string &after)
{
    if (after.empty()) {
        this->names.clear();
        this->listRevision = 0;
        this->listedPages = 0;
    }
    this->store.list(this->collection, after, [weak = this->weak_from_this()](const store::CollectionItems &page) {
        if (const auto self = weak.lock()) {
            self->handlePage(page);
        }
    });
}

void CollectionFollower::handlePage(const store::CollectionItems &page)
{
    this->setStoreReachable(page.kind == ErrorKind::None);
    if (page.kind != ErrorKind::None) {
        this->scheduleRetry([](CollectionFollower &self) { self.requestPage({}); });
        return;
    }
    ++this->listedPages;
    // The watch starts from the first page's revision, so that it returns changes made while further pages are read.
    if (this->listRevision == 0) {
        this->listRevision = page.revision;
    }
    for (const auto &item : page.items) {
        this->names.insert(item.name);
        this->listener.onItem(item);
    }
    if (page.hasMore && !page.items.empty()) {
        this->requestPage(page.items.back().name);
        return;
    }
    core::log(core::LogLevel::Info, "store.listed",
              {{"collection", this->collection},
               {"revision", fmt::to_string(this->listRevision)},
               {"era", fmt::to_string(page.era)},
               {"objects", fmt::to_string(this->names.size())},
               {"earlier_revision", fmt::to_string(this->revision)}});
    this->listener.onListed(this->names, this->listRevision);
    this->revision = this->listRevision;
    this->listener.onCaughtUp(this->revision);
    this->startWatch();
}

void CollectionFollower::startWatch()
{
    this->store.watch(this->collection, this->revision, this->watchTimeout(),
                      [weak = this->weak_from_this()](const store::CollectionItems &changes) {
                          if (const auto self = weak.lock()) {
                              self->handleChanges(changes);
                          }
                      });
}

void CollectionFollower::handleChanges(const store::CollectionItems &changes)
{
    if (changes.kind == ErrorKind::HistoryGone) {
        core::log(core::LogLevel::Info, "store.history_gone",
                  {{"collection", this->collection}, {"revision", fmt::to_string(this->revision)}});
        this->requestPage({});
        return;
    }
    this->setStoreReachable(changes.kind == ErrorKind::None);
    if (changes.kind != ErrorKind::None) {
        // After a failed watch the collection is listed without delay, because a list includes all changes that the watch has missed.
        if (this->failureCount == 0) {
            this->failureCount = 1;
            this->requestPage({});
            return;
        }
        this->scheduleRetry([](CollectionFollower &self) { self.requestPage({}); });
        return;
    }
    for (const auto &item : changes.items) {
        this->listener.onItem(item);
    }
    this->revision = std::max(this->revision, changes.revision);
    this->listener.onCaughtUp(this->revision);
    this->watchesWithChanges = changes.items.empty() ? 0 : this->watchesWithChanges + 1;
    if (changes.items.empty() || this->changeDelay.count() == 0) {
        this->startWatch();
        return;
    }
    // A watch may return only one change per call, whereas a list of one page returns all changes of a long series at once.
    const bool isLongSeries = this->watchesWithChanges >= watchesBeforeList && this->listedPages == 1;
    this->schedule(this->changeDelay, [weak = this->weak_from_this(), isLongSeries] {
        if (const auto self = weak.lock()) {
            if (isLongSeries) {
                self->watchesWithChanges = 0;
                self->requestPage({});
            } else {
                self->startWatch();
            }
        }
    });
}

void CollectionFollower::scheduleRetry(std::function<void(CollectionFollower &)> step)
{
    const auto doublings = std::min(this->failureCount, maxDoublings);
    this->failureCount = doublings + 1;
    const auto backoff = std::min(maxBackoff, minBackoff * (1 << doublings));
    const auto jittered = std::chrono::duration_cast<core::Duration>(backoff * (0.5 + 0.5 * core::uniform(this->random)));
    this->schedule(jittered, [weak = this->weak_from_this(), step = std::move(step)] {
        if (const auto self = weak.lock()) {
            step(*self);
        }
    });
}

void CollectionFollower::setStoreReachable(bool isReachable)
{
    if (isReachable) {
        this->failureCount = 0;
    }
    if (isReachable != this->isStoreReachable) {
        core::log(isReachable ? core::LogLevel::Info : core::LogLevel::Warning, isReachable ? "store.regained" : "store.lost",
                  {{"collection", this->collection}, {"revision", fmt::to_string(this->revision)}});
    }
    this->isStoreReachable = isReachable;
}
} // namespace figpulley::mesh
