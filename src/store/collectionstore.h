#pragma once

#include "core/errorkind.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace figpulley::store
{
/// An object of a collection.
struct CollectionItem
{
    std::string name;
    std::uint64_t revision = 0; ///< of its last change
    std::string content; ///< JSON
    bool isDeleted = false; ///< in a watch: it was removed
};

/// One page of a collection, or the changes that a watch has seen.
struct CollectionItems
{
    core::ErrorKind kind = core::ErrorKind::None; ///< PlatformUnavailable, HistoryGone or None
    std::vector<CollectionItem> items;
    std::uint64_t revision = 0; ///< of the store; a watch goes on from it
    bool hasMore = false; ///< of a list: ask again after the last name
};

/// How a call on one object ended.
struct ItemResult
{
    core::ErrorKind kind = core::ErrorKind::None; ///< NotFound, Conflict, PlatformUnavailable, PlatformOutcomeUnknown or None
    CollectionItem item; ///< as it is now: after a read, a write or a conflict
};

/// A store of objects in named collections, with one revision counter for all changes. Implementations call back exactly once for
/// each call, never from inside it.
class CollectionStore
{
public:
    using ItemsCallback = std::function<void(const CollectionItems &)>;
    using ItemCallback = std::function<void(const ItemResult &)>;

    virtual ~CollectionStore() = default;

    /// Reads a page of a collection, in the order of names.
    /// @param after name to go on after; empty for the first page
    virtual void list(const std::string &collection, const std::string &after, ItemsCallback callback) = 0;

    /// Waits for changes of a collection after a revision.
    /// @param wait time after which an empty answer comes
    virtual void watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback) = 0;

    /// Reads one object.
    virtual void get(const std::string &collection, const std::string &name, ItemCallback callback) = 0;

    /// Writes one object if its revision is the given one; 0: if there is none yet.
    virtual void put(const std::string &collection, const std::string &name, const std::string &content, std::uint64_t revision,
                     ItemCallback callback) = 0;

    CollectionStore() = default;
    CollectionStore(const CollectionStore &) = delete;
    CollectionStore &operator=(const CollectionStore &) = delete;
};
} // namespace figpulley::store
