#pragma once

#include "mesh/meshboard.h"
#include "mesh/wireformat.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace figpulley::mesh
{
/// Puts configurations in force; never an older one than the one in force.
class ConfigKeeper
{
public:
    /// @param onInForce called with each configuration when it is put in force
    ConfigKeeper(MeshBoard &board, const WireFormat &wire, std::function<void(const routing::RouteSet &)> onInForce);

    /// A configuration was read from the store or told by a peer.
    /// @param origin where it comes from, for the log
    /// @returns whether it is in force now
    bool offer(std::string_view text, std::string_view origin, core::TimePoint now);

    [[nodiscard]] std::uint64_t version() const noexcept;

private:
    MeshBoard &board;
    const WireFormat &wire;
    std::function<void(const routing::RouteSet &)> onInForce;
};

/// Keeps the directory of endpoints.
class DirectoryKeeper
{
public:
    explicit DirectoryKeeper(MeshBoard &board);

    /// A record was read or has changed.
    /// @param name of the object
    void put(const std::string &name, std::string_view text, std::uint64_t revision, core::TimePoint now);

    /// An object was deleted.
    void remove(const std::string &name, std::uint64_t revision);

    /// A complete list was read.
    void retain(const std::unordered_set<std::string> &names, std::uint64_t revision);

private:
    MeshBoard &board;
};

/// Name of the object that a node's record is kept in.
[[nodiscard]] std::string recordName(std::string_view node);

/// Node whose record an object holds.
[[nodiscard]] std::string nodeOfRecord(std::string_view name);
} // namespace figpulley::mesh
