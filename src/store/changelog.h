#pragma once

#include "store/collectionstore.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace figpulley::store
{
/// Objects of a collection and its recent changes, all of one era of the store. A node serves them to other nodes, which then need not read
/// the store.
class ChangeLog
{
public:
    /// Prepares for the objects of a new list. If the store's era has changed, forgets everything that is known of the earlier era; then
    /// no changes are known until the list is complete.
    void beginList(std::uint64_t era);

    /// Records an object that was listed, changed or deleted; a revision that is not newer than the known one is ignored.
    void put(const CollectionItem &item);

    /// Takes over a complete list, whose objects were recorded before: objects that are not listed and have not changed since count as
    /// deleted at the list's revision. If no list of this era was complete before, changes up to the list's revision are unknown.
    /// @param names names of all listed objects
    /// @param revision revision of the store when the list was begun
    void reset(const std::unordered_set<std::string> &names, std::uint64_t revision);

    /// Records that all changes up to a revision have been received.
    void advance(std::uint64_t revision);

    /// Whether the log holds all changes after a revision.
    [[nodiscard]] bool covers(std::uint64_t revision) const noexcept;

    /// Returns the changes after a revision, of each object only the latest one, or nothing if the log does not hold all of them.
    [[nodiscard]] std::optional<std::vector<CollectionItem>> changesAfter(std::uint64_t revision) const;

    /// Returns the revision of the first change that changesAfter() returns; 0 if there is none.
    [[nodiscard]] std::uint64_t firstChangeAfter(std::uint64_t revision) const;

    /// Returns all objects of the collection, ordered by name.
    [[nodiscard]] std::vector<CollectionItem> allItems() const;

    /// Returns the revision up to which all changes are known; 0 before the first list of an era.
    [[nodiscard]] std::uint64_t revision() const noexcept;

    /// Returns the era of the store that the objects and revisions belong to.
    [[nodiscard]] std::uint64_t era() const noexcept;

private:
    void addChange(const CollectionItem &item);
    [[nodiscard]] bool isLatest(const CollectionItem &change) const;

    // Covers several minutes of changes; a node that was disconnected for longer reads a complete list.
    static constexpr std::size_t maxChanges = 1024;

    std::map<std::string, CollectionItem> items;
    std::deque<CollectionItem> changes; // in the order in which they became known
    std::uint64_t baseRevision = 0; // the log holds the changes after this revision
    std::uint64_t latestRevision = 0;
    std::uint64_t storeEra = 0;
};
} // namespace figpulley::store
