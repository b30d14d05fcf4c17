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
    this->list();
}

void CollectionFollower::followEra(std::uint64_t current)
{
    if (this->era != current && !this->isFirstPageAwaited && !this->isListScheduled) {
        this->restartList(this->restartCount);
    }
}

store::CollectionStore::ItemsCallback CollectionFollower::callback(void (CollectionFollower::*handle)(const store::CollectionItems &))
{
    return [weak = this->weak_from_this(), handle, startedIn = this->round](const store::CollectionItems &response) {
        const auto self = weak.lock();
        if (self && self->round == startedIn) {
            ((*self).*handle)(response);
        }
    };
}

void CollectionFollower::list()
{
    ++this->round;
    this->names.clear();
    this->listedName.clear();
    this->listRevision = 0;
    this->listedPages = 0;
    this->isFirstPageAwaited = true;
    this->isListScheduled = false;
    this->requestPage({});
}

// The first list after a successful watch begins without delay, because it includes all changes that the watch may have missed. Further
// ones are delayed: a store that answers every list and no watch, or states another era with each response, must not be listed in a loop.
void CollectionFollower::restartList(int &count)
{
    if (count > 0) {
        this->scheduleList(count);
        return;
    }
    count = 1;
    this->list();
}

void CollectionFollower::requestPage(const std::string &after)
{
    this->store.list(this->collection, after, this->callback(&CollectionFollower::handlePage));
}

void CollectionFollower::handlePage(const store::CollectionItems &page)
{
    this->isFirstPageAwaited = false;
    // Without a name that follows the previous page's, the next page cannot be requested.
    const bool isUsable = page.kind == ErrorKind::None && (!page.hasMore || page.lastName > this->listedName);
    this->setStoreReachable(isUsable);
    if (!isUsable) {
        this->scheduleList(this->failureCount);
        return;
    }
    if (this->listedPages == 0) {
        // The watch starts from the first page's revision, so that it returns changes made while further pages are read.
        this->listRevision = page.revision;
        this->era = page.era;
        this->listener.onListBegun(this->era);
    } else if (page.era != this->era) {
        this->restartList(this->restartCount);
        return;
    } else if (page.revision < this->listRevision) {
        // A source that knows less than that of the first page: the watch would miss the changes in between.
        this->scheduleList(this->staleListCount);
        return;
    }
    ++this->listedPages;
    for (const auto &item : page.items) {
        this->names.insert(item.name);
        this->listener.onItem(item);
    }
    this->reportUnreadable(page);
    if (page.hasMore) {
        this->listedName = page.lastName;
        this->requestPage(this->listedName);
        return;
    }
    core::log(core::LogLevel::Info, "store.listed",
              {{"collection", this->collection},
               {"revision", fmt::to_string(this->listRevision)},
               {"era", fmt::to_string(this->era)},
               {"objects", fmt::to_string(this->names.size())},
               {"earlier_revision", fmt::to_string(this->revision)}});
    this->staleListCount = 0;
    this->failureCount = 0;
    this->listener.onListed(this->names, this->listRevision);
    this->revision = this->listRevision;
    this->listener.onCaughtUp(this->revision);
    this->startWatch();
}

void CollectionFollower::startWatch()
{
    this->store.watch(this->collection, this->revision, this->watchTimeout(), this->callback(&CollectionFollower::handleChanges));
}

void CollectionFollower::handleChanges(const store::CollectionItems &changes)
{
    if (changes.kind == ErrorKind::HistoryGone) {
        core::log(core::LogLevel::Info, "store.history_gone",
                  {{"collection", this->collection}, {"revision", fmt::to_string(this->revision)}});
        this->restartList(this->historyGoneCount);
        return;
    }
    this->setStoreReachable(changes.kind == ErrorKind::None);
    if (changes.kind != ErrorKind::None) {
        this->failureCount = 1; // no list has failed since the last complete one
        this->restartList(this->restartCount);
        return;
    }
    if (changes.era != this->era) {
        // The store was restored during the watch: the changes follow a revision of the earlier era, so some may be missing.
        this->restartList(this->restartCount);
        return;
    }
    this->restartCount = 0;
    this->historyGoneCount = 0;
    for (const auto &item : changes.items) {
        this->listener.onItem(item);
    }
    this->reportUnreadable(changes);
    this->revision = std::max(this->revision, changes.revision);
    this->listener.onCaughtUp(this->revision);
    this->watchesWithChanges = changes.items.empty() || changes.hasAllChanges ? 0 : this->watchesWithChanges + 1;
    if (changes.items.empty() || this->changeDelay.count() == 0) {
        this->startWatch();
        return;
    }
    // A watch may return only one change per call, whereas a list of one page returns all changes of a long series at once.
    const bool isLongSeries = this->watchesWithChanges >= watchesBeforeList && this->listedPages == 1;
    this->schedule(this->changeDelay, [weak = this->weak_from_this(), isLongSeries, startedIn = this->round] {
        const auto self = weak.lock();
        if (!self || self->round != startedIn) {
            return;
        }
        if (isLongSeries) {
            self->watchesWithChanges = 0;
            self->list();
        } else {
            self->startWatch();
        }
    });
}

void CollectionFollower::reportUnreadable(const store::CollectionItems &items) const
{
    if (items.unreadable > 0) {
        this->listener.onUnreadable(items.unreadable);
    }
}

// Lists the collection after a delay that doubles with a count of failures, and raises the count. Ends the current list or watch.
void CollectionFollower::scheduleList(int &count)
{
    const auto doublings = std::min(count, maxDoublings);
    count = doublings + 1;
    const auto backoff = std::min(maxBackoff, minBackoff * (1 << doublings));
    const auto jittered = std::chrono::duration_cast<core::Duration>(backoff * (0.5 + 0.5 * core::uniform(this->random)));
    ++this->round;
    this->isListScheduled = true;
    this->schedule(jittered, [weak = this->weak_from_this(), startedIn = this->round] {
        const auto self = weak.lock();
        if (self && self->round == startedIn) {
            self->list();
        }
    });
}

void CollectionFollower::setStoreReachable(bool isReachable)
{
    if (isReachable != this->isStoreReachable) {
        core::log(isReachable ? core::LogLevel::Info : core::LogLevel::Warning, isReachable ? "store.regained" : "store.lost",
                  {{"collection", this->collection}, {"revision", fmt::to_string(this->revision)}, {"era", fmt::to_string(this->era)}});
    }
    this->isStoreReachable = isReachable;
}
} // namespace figpulley::mesh
