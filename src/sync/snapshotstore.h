#pragma once

#include "sync/snapshot.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::sync
{
/// Holds the snapshot in force at a node, and the recent manifests, from which deltas for other nodes are computed.
class SnapshotStore
{
public:
    /// Number of recent manifests from which a delta can be computed.
    static constexpr std::size_t maxRecentManifests = 32;

    /// Replaces the snapshot in force by a newer, complete one.
    /// @returns false, without a change, if the snapshot is not newer than the one in force or lacks a text
    bool applyIfNewer(Snapshot snapshot);

    [[nodiscard]] const Snapshot &current() const noexcept;

    /// Encodes the difference between revision `have` of a peer and the revision in force.
    /// @returns JSON with the changes of the manifest and the texts of the changed files; with all files if `have` is not among the
    /// recent revisions
    [[nodiscard]] std::string encodeDelta(std::uint64_t have) const;

    /// Builds a newer snapshot from a delta that a peer has encoded.
    /// @returns the snapshot, or nothing if the delta is malformed, not newer, or not based on the revision in force
    [[nodiscard]] std::optional<Snapshot> applyDelta(std::string_view delta) const;

private:
    Snapshot snapshot;
    std::deque<Manifest> recentManifests;
};
} // namespace figpulley::sync
