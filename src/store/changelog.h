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
/// What a collection holds and how it has changed lately, so that others can keep up with it without asking the store.
class ChangeLog
{
public:
    /// An object was listed, has changed or was deleted.
    void put(const CollectionItem &item);

    /// A complete list was read: changes before it are not known.
    /// @param names all that it named
    void reset(const std::unordered_set<std::string> &names, std::uint64_t revision);

    /// The store has told of all changes up to a revision.
    void advance(std::uint64_t revision);

    /// Changes after a revision; nothing if the log does not reach back so far.
    [[nodiscard]] std::optional<std::vector<CollectionItem>> after(std::uint64_t revision) const;

    /// All that the collection holds.
    [[nodiscard]] std::vector<CollectionItem> all() const;

    /// Up to which all changes are known; 0 before the first list.
    [[nodiscard]] std::uint64_t revision() const noexcept;

private:
    static constexpr std::size_t mostChanges = 1024; // several minutes of changes; whoever was away for longer lists again

    std::map<std::string, CollectionItem> items;
    std::deque<CollectionItem> changes; // oldest first
    std::uint64_t since = 0; // changes after this revision are in the log
    std::uint64_t latest = 0;
};
} // namespace figpulley::store
