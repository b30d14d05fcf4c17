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
/// Object of a collection.
struct CollectionItem
{
    std::string name;
    std::uint64_t revision = 0; ///< revision of the object's last change
    std::string content; ///< text that the writer stored, as it stands; any writer may have stored it
    bool isDeleted = false; ///< set by a watch that reports the object's deletion
};

/// One page of a collection, or the changes that a watch reports.
struct CollectionItems
{
    core::ErrorKind kind = core::ErrorKind::None; ///< PlatformUnavailable, HistoryGone or None
    std::vector<CollectionItem> items;
    std::uint64_t revision = 0; ///< revision of the store, from which the next watch continues
    std::uint64_t era = 0; ///< era of the store that the response states, failures included; 0 if it states none
    bool hasMore = false; ///< in a list: another page follows the last name
    bool hasAllChanges = false; ///< in a watch: no later change is known to the sender, so that the next watch need not be a list
    std::string lastName; ///< in a list: last name that can be read, also of an object that was skipped
    std::size_t unreadable = 0; ///< number of objects or changes that were skipped, as their name or revision cannot be read
};

/// Returns the response to a list or a watch that has failed.
[[nodiscard]] inline CollectionItems unavailableItems(std::uint64_t era)
{
    CollectionItems items;
    items.kind = core::ErrorKind::PlatformUnavailable;
    items.era = era;
    return items;
}

/// Result of a read or a write of one object.
struct ItemResult
{
    core::ErrorKind kind = core::ErrorKind::None; ///< NotFound, Conflict, PlatformUnavailable, PlatformOutcomeUnknown or None
    CollectionItem item; ///< current object after a read, a write or a conflict
    std::uint64_t era = 0; ///< era of the store that the response states, failures included; 0 if it states none
};

/// Store of objects in named collections, with one revision counter for all changes of an era. Implementations invoke the callback exactly
/// once for each call, and never before the call returns.
class CollectionStore
{
public:
    using ItemsCallback = std::function<void(const CollectionItems &)>;
    using ItemCallback = std::function<void(const ItemResult &)>;

    virtual ~CollectionStore() = default;

    /// Reads a page of a collection, ordered by name.
    /// @param after last name of the previous page; empty for the first page
    virtual void list(const std::string &collection, const std::string &after, ItemsCallback callback) = 0;

    /// Waits for changes of a collection after a revision.
    /// @param wait time after which the watch ends without changes
    virtual void watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback) = 0;

    /// Reads one object.
    virtual void get(const std::string &collection, const std::string &name, ItemCallback callback) = 0;

    /// Writes one object if its revision equals `revision`; with 0, creates the object if it does not exist.
    virtual void put(const std::string &collection, const std::string &name, const std::string &content, std::uint64_t revision,
                     ItemCallback callback) = 0;

    CollectionStore() = default;
    CollectionStore(const CollectionStore &) = delete;
    CollectionStore &operator=(const CollectionStore &) = delete;
};
} // namespace figpulley::store
