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
/// Receives what a collection holds.
struct CollectionListener
{
    std::function<void(const store::CollectionItem &)> onItem; ///< an object was listed, has changed or was deleted
    std::function<void(const std::unordered_set<std::string> &, std::uint64_t)> onListed; ///< names of a complete list, and its revision
    std::function<void(std::uint64_t)> onCaughtUp; ///< all changes up to a revision have been told
};

/// Keeps up with one collection: lists it, then watches it, and lists it again when the store has discarded its history.
class CollectionFollower : public std::enable_shared_from_this<CollectionFollower>
{
public:
    using Scheduler = std::function<void(core::Duration, std::function<void()>)>;

    /// @param wait of the next watch; a watch that the store has dropped without a word is found after it
    /// @param pause after changes before the next watch, in which further changes gather
    CollectionFollower(store::CollectionStore &store, std::string collection, CollectionListener listener, Scheduler later,
                       core::Random &random, std::function<core::Duration()> wait, core::Duration pause);

    void start();

private:
    void list(const std::string &after);
    void listed(const store::CollectionItems &page);
    void watch();
    void watched(const store::CollectionItems &changes);
    void retry(std::function<void(CollectionFollower &)> step);
    void noteReachable(bool isReachable);

    store::CollectionStore &store;
    std::string collection;
    CollectionListener listener;
    Scheduler later;
    core::Random &random;
    std::function<core::Duration()> wait;
    core::Duration pause;
    std::unordered_set<std::string> names;
    std::uint64_t listRevision = 0;
    std::uint64_t revision = 0;
    int failures = 0;
    int seriesLength = 0; // watches in a row that told of changes
    std::size_t pages = 0; // of the last list
    bool isAnswering = true;
};
} // namespace figpulley::mesh
