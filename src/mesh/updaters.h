#pragma once

#include "mesh/meshboard.h"
#include "mesh/wireformat.h"
#include "store/position.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace figpulley::mesh
{
/// Activates configurations, never one that is older than the active one.
class ConfigUpdater
{
public:
    /// @param onActivated called with each configuration when it becomes active
    ConfigUpdater(MeshBoard &board, const WireFormat &wire, std::function<void(const routing::RouteTable &)> onActivated);

    /// Activates a configuration from the store or from a peer if it is valid and newer than the active one.
    /// @param origin source of the text, for the log
    /// @returns whether this version is active now
    bool activateIfNewer(std::string_view text, std::string_view origin, core::TimePoint now);

    [[nodiscard]] std::uint64_t version() const noexcept;

private:
    MeshBoard &board;
    const WireFormat &wire;
    std::function<void(const routing::RouteTable &)> onActivated;
};

/// Maintains the directory of endpoints.
class DirectoryUpdater
{
public:
    explicit DirectoryUpdater(MeshBoard &board);

    /// Stores a record that was read or has changed. An unreadable record removes its node from the directory.
    /// @param name name of the record's object
    void put(const std::string &name, std::string_view text, store::Position position, core::TimePoint now);

    /// Takes over the record that a node tells after a departure.
    /// @returns whether the directory now shows all departures that the record states
    bool applyTold(const discovery::EndpointRecord &record);

    /// Removes the node of an object that was deleted.
    void remove(const std::string &name, store::Position position);

    /// Removes the nodes that a complete list does not name.
    void retain(const std::unordered_set<std::string> &names, store::Position position);

    /// Removes the nodes whose records the store lost in a restore and that were not written again.
    /// @param era era since which they would have been read
    /// @param own this node, which is kept: it knows its endpoint without the store
    void removeLost(std::uint64_t era, std::string_view own);

private:
    MeshBoard &board;
};

/// Returns the name of the object that holds a node's record.
[[nodiscard]] std::string recordName(std::string_view node);

/// Returns the node whose record an object holds.
[[nodiscard]] std::string nodeOfRecord(std::string_view name);
} // namespace figpulley::mesh
