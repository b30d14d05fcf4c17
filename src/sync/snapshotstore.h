#pragma once

#include "sync/snapshot.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::sync
{
/// The snapshot in force on a node, and enough of the latest ones to tell a peer only what changed.
class SnapshotStore
{
public:
    /// Manifests kept for differences.
    static constexpr std::size_t keptManifests = 32;

    /// Takes a complete snapshot.
    /// @returns false, and changes nothing, if it is not newer than the one in force or lacks a text
    bool offer(Snapshot snapshot);

    [[nodiscard]] const Snapshot &current() const noexcept;

    /// Encodes what a peer with revision `have` lacks.
    /// @returns JSON with the manifest's changes and the texts of changed files; everything if `have` is too old
    [[nodiscard]] std::string encodeDelta(std::uint64_t have) const;

    /// Builds the newer snapshot from a peer's delta.
    /// @returns nothing if the delta is malformed, not newer, or does not fit the revision in force
    [[nodiscard]] std::optional<Snapshot> applyDelta(std::string_view delta) const;

private:
    Snapshot snapshot;
    std::deque<Manifest> recent;
};
} // namespace figpulley::sync
