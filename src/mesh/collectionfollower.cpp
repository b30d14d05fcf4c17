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

constexpr core::Duration shortestBackoff = 150ms;
constexpr core::Duration longestBackoff = 800ms; // under half of the 2 s within which the node has caught up after an outage
constexpr int mostDoublings = 4;
constexpr int longSeries = 3; // changes that were told one by one
} // namespace

CollectionFollower::CollectionFollower(store::CollectionStore &store, std::string collection, CollectionListener listener, Scheduler later,
                                       core::Random &random, std::function<core::Duration()> wait, core::Duration pause)
    : store(store)
    , collection(std::move(collection))
    , listener(std::move(listener))
    , later(std::move(later))
    , random(random)
    , wait(std::move(wait))
    , pause(pause)
{
}

void CollectionFollower::start()
{
    this->list({});
}

void CollectionFollower::list(const std::string &after)
{
    if (after.empty()) {
        this->names.clear();
        this->listRevision = 0;
        this->pages = 0;
    }
    this->store.list(this->collection, after, [weak = this->weak_from_this()](const store::CollectionItems &page) {
        if (const auto self = weak.lock()) {
            self->listed(page);
        }
    });
}

void CollectionFollower::listed(const store::CollectionItems &page)
{
    this->noteReachable(page.kind == ErrorKind::None);
    if (page.kind != ErrorKind::None) {
        this->retry([](CollectionFollower &self) { self.list({}); });
        return;
    }
    ++this->pages;
    // Changes made while further pages are read are seen by a watch from the first page's revision.
    if (this->listRevision == 0) {
        this->listRevision = page.revision;
    }
    for (const auto &item : page.items) {
        this->names.insert(item.name);
        this->listener.onItem(item);
    }
    if (page.hasMore && !page.items.empty()) {
        this->list(page.items.back().name);
        return;
    }
    this->listener.onListed(this->names, this->listRevision);
    this->revision = this->listRevision;
    this->listener.onCaughtUp(this->revision);
    this->watch();
}

void CollectionFollower::watch()
{
    this->store.watch(this->collection, this->revision, this->wait(),
                      [weak = this->weak_from_this()](const store::CollectionItems &changes) {
                          if (const auto self = weak.lock()) {
                              self->watched(changes);
                          }
                      });
}

void CollectionFollower::watched(const store::CollectionItems &changes)
{
    if (changes.kind == ErrorKind::HistoryGone) {
        core::log(core::LogLevel::Info, "store.history_gone",
                  {{"collection", this->collection}, {"revision", fmt::to_string(this->revision)}});
        this->list({});
        return;
    }
    this->noteReachable(changes.kind == ErrorKind::None);
    if (changes.kind != ErrorKind::None) {
        // What a watch that broke off has missed is read at once: a list is never behind.
        if (this->failures == 0) {
            this->failures = 1;
            this->list({});
            return;
        }
        this->retry([](CollectionFollower &self) { self.list({}); });
        return;
    }
    for (const auto &item : changes.items) {
        this->listener.onItem(item);
    }
    this->revision = std::max(this->revision, changes.revision);
    this->listener.onCaughtUp(this->revision);
    this->seriesLength = changes.items.empty() ? 0 : this->seriesLength + 1;
    if (changes.items.empty() || this->pause.count() == 0) {
        this->watch();
        return;
    }
    // A watch may tell of one change a call; a list of one page tells of a long series in one.
    const bool isSeries = this->seriesLength >= longSeries && this->pages == 1;
    this->later(this->pause, [weak = this->weak_from_this(), isSeries] {
        if (const auto self = weak.lock()) {
            if (isSeries) {
                self->seriesLength = 0;
                self->list({});
            } else {
                self->watch();
            }
        }
    });
}

void CollectionFollower::retry(std::function<void(CollectionFollower &)> step)
{
    const auto doublings = std::min(this->failures, mostDoublings);
    this->failures = doublings + 1;
    const auto backoff = std::min(longestBackoff, shortestBackoff * (1 << doublings));
    const auto jittered = std::chrono::duration_cast<core::Duration>(backoff * (0.5 + 0.5 * core::uniform(this->random)));
    this->later(jittered, [weak = this->weak_from_this(), step = std::move(step)] {
        if (const auto self = weak.lock()) {
            step(*self);
        }
    });
}

void CollectionFollower::noteReachable(bool isReachable)
{
    if (isReachable) {
        this->failures = 0;
    }
    if (isReachable != this->isAnswering) {
        core::log(isReachable ? core::LogLevel::Info : core::LogLevel::Warning, isReachable ? "store.regained" : "store.lost",
                  {{"collection", this->collection}, {"revision", fmt::to_string(this->revision)}});
    }
    this->isAnswering = isReachable;
}
} // namespace figpulley::mesh
