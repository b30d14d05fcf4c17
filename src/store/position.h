#pragma once

#include <compare>
#include <cstdint>

namespace figpulley::store
{
/// Position in the order of the store's changes. A store that was restored from a backup counts its revisions from the backup's
/// revision on and gives out the same numbers again, so revisions are comparable within one era only.
struct Position
{
    std::uint64_t era = 0; ///< number of the era; each restore begins the next one; 0 if the store states none
    std::uint64_t revision = 0;

    [[nodiscard]] auto operator<=>(const Position &) const = default;
};
static_assert(Position {1, 9} < Position {2, 1}, "a change of a later era is newer, whatever its revision");
} // namespace figpulley::store
