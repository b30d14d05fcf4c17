#pragma once

#include "store/collectionstore.h"
#include "store/objectstore.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>

namespace figpulley::store
{
/// Limits of what a change log keeps, in bytes.
struct ChangeLogLimits
{
    std::size_t contentBytes = maxValueBytes; ///< a longer content is kept as an empty one, which no reader accepts
    std::size_t totalBytes = 32 * maxValueBytes; ///< names and contents of all objects; contents beyond that are left out
    std::size_t deletionBytes = 256UL * 1024UL; ///< names of deleted objects; beyond that the earliest deletions are forgotten
};

/// Objects of a collection, all of one era of the store, each with its latest change only: what the log keeps grows with the objects and
/// not with their versions. A node serves them to other nodes, which then need not read the store.
class ChangeLog
{
public:
    explicit ChangeLog(ChangeLogLimits limits = {});

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

    /// Whether contents were left out because of the total size. The log can then serve no other node, which has to read the store.
    [[nodiscard]] bool isTruncated() const noexcept;

    /// Returns the changes after a revision in the order of their revisions, of each object only the latest one, or nothing if the log
    /// does not hold all of them.
    /// @param maxBytes size of names and contents from which the rest is left out; `revision` is then that of the last change returned,
    /// from which the next query continues
    [[nodiscard]] std::optional<CollectionItems> changesAfter(std::uint64_t revision, std::size_t maxBytes = unlimited) const;

    /// Returns the revision of the first change that changesAfter() returns; 0 if there is none.
    [[nodiscard]] std::uint64_t firstChangeAfter(std::uint64_t revision) const;

    /// Returns the objects of the collection, ordered by name.
    /// @param after only the objects whose names follow this one
    /// @param maxBytes size of names and contents from which the rest is left out; `hasMore` and `lastName` are then set
    [[nodiscard]] CollectionItems list(const std::string &after = {}, std::size_t maxBytes = unlimited) const;

    /// Returns the revision up to which all changes are known; 0 before the first list of an era.
    [[nodiscard]] std::uint64_t revision() const noexcept;

    /// Returns the era of the store that the objects and revisions belong to.
    [[nodiscard]] std::uint64_t era() const noexcept;

    /// Returns the size of the names and contents that the log keeps.
    [[nodiscard]] std::size_t bytes() const noexcept;

    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

private:
    using Order = std::set<std::pair<std::uint64_t, std::string>>;

    void store(CollectionItem item);
    void forget(const CollectionItem &item);
    void forgetEarliestDeletions();
    [[nodiscard]] CollectionItems emptyItems() const;

    ChangeLogLimits limits;
    std::map<std::string, CollectionItem> items; // latest change of each object, deletions included
    Order order; // revision and name of each item
    Order deletions; // the same of the items that are deletions
    std::unordered_set<std::string> truncated; // names of the objects whose content was left out because of the total size
    std::size_t keptBytes = 0;
    std::size_t deletionBytes = 0;
    std::uint64_t baseRevision = 0; // the log holds the changes after this revision
    std::uint64_t latestRevision = 0;
    std::uint64_t storeEra = 0;
};
} // namespace figpulley::store
