#pragma once

#include "core/random.h"
#include "core/time.h"
#include "store/collectionstore.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace figpulley::mesh
{
/// Callbacks that receive the contents of a collection.
struct CollectionListener
{
    std::function<void(std::uint64_t)> onListBegun; ///< a list begins, of this era of the store; its objects follow
    std::function<void(const store::CollectionItem &)> onItem; ///< an object was listed, has changed or was deleted
    std::function<void(const std::unordered_set<std::string> &, std::uint64_t)> onListed; ///< names and revision of a complete list
    std::function<void(std::uint64_t)> onCaughtUp; ///< all changes up to a revision have been passed on
    std::function<void(std::size_t)> onUnreadable; ///< this many objects or changes were skipped, as they cannot be read
};

/// Follows one collection: lists it, then watches it. Lists it again if the watch fails, if the store has discarded its history, or if
/// the store was restored, as a revision of an earlier era names another state or none. Objects that cannot be read are skipped.
class CollectionFollower : public std::enable_shared_from_this<CollectionFollower>
{
public:
    using Scheduler = std::function<void(core::Duration, std::function<void()>)>;

    /// @param watchTimeout returns the duration of the next watch, after which a watch that the store has silently dropped is noticed
    /// @param changeDelay time between a watch with changes and the next one; further changes are batched meanwhile
    CollectionFollower(store::CollectionStore &store, std::string collection, CollectionListener listener, Scheduler schedule,
                       core::Random &random, std::function<core::Duration()> watchTimeout, core::Duration changeDelay);

    void start();

    /// Lists the collection again unless its contents are of this era, or a list is scheduled or its first page awaited already.
    void followEra(std::uint64_t era);

private:
    void list();
    void restartList(int &count);
    void requestPage(const std::string &after);
    void handlePage(const store::CollectionItems &page);
    void startWatch();
    void handleChanges(const store::CollectionItems &changes);
    void reportUnreadable(const store::CollectionItems &items) const;
    void scheduleList(int &count);
    [[nodiscard]] store::CollectionStore::ItemsCallback callback(void (CollectionFollower::*handle)(const store::CollectionItems &));
    void setStoreReachable(bool isReachable);

    store::CollectionStore &store;
    std::string collection;
    CollectionListener listener;
    Scheduler schedule;
    core::Random &random;
    std::function<core::Duration()> watchTimeout;
    core::Duration changeDelay;
    std::unordered_set<std::string> names;
    std::uint64_t era = 0; // era of the store that the names and revisions belong to
    std::string listedName; // last name of the pages read by the current list
    std::uint64_t listRevision = 0;
    std::uint64_t revision = 0;
    std::uint64_t round = 0; // number of lists begun or scheduled; responses to calls of earlier rounds are ignored
    int failureCount = 0; // number of calls that failed since the last complete list
    int restartCount = 0; // number of lists since the last successful watch that failed watches or other eras have caused
    int historyGoneCount = 0; // number of times that the history was gone since the last successful watch
    int staleListCount = 0; // number of lists in a row that ended because a later page was older than the first
    int watchesWithChanges = 0; // number of consecutive watches that returned changes
    std::size_t listedPages = 0; // number of pages of the last list
    bool isFirstPageAwaited = false;
    bool isListScheduled = false;
    bool isStoreReachable = true;
};
} // namespace figpulley::mesh
