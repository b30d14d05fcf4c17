#pragma once

#include "core/time.h"
#include "discovery/endpointrecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace figpulley::discovery
{
/// An endpoint as other nodes know it.
struct KnownEndpoint
{
    EndpointRecord record;
    std::uint64_t revision = 0; ///< of the store's object
    core::TimePoint since {}; ///< when this node learnt of this incarnation
    core::TimePoint coldUntil {};
};

/// All endpoints that the store tells of, by node and by service.
class Directory
{
public:
    /// A record was read or has changed; an older revision than the known one changes nothing.
    /// @returns whether anything has changed
    bool put(const EndpointRecord &record, std::uint64_t revision, core::TimePoint now);

    /// A node's object was deleted or cannot be read.
    bool remove(const std::string &node, std::uint64_t revision);

    /// A complete list was read: whatever it does not name is gone.
    /// @param revision of the store when the list was begun
    void retain(const std::unordered_set<std::string> &nodes, std::uint64_t revision);

    /// Endpoints of a service that may get new requests.
    [[nodiscard]] const std::vector<const KnownEndpoint *> &ready(std::string_view service) const;

    /// @returns nothing if the node is not known
    [[nodiscard]] const KnownEndpoint *find(std::string_view node) const;

    /// Nodes that are known, whatever their endpoints' state.
    [[nodiscard]] std::size_t size() const noexcept;

    /// Nodes of a zone, whatever their endpoints' state.
    [[nodiscard]] std::size_t countInZone(std::string_view zone) const;

    /// All that is known, for a snapshot.
    [[nodiscard]] std::vector<const KnownEndpoint *> all() const;

private:
    void rebuild(const std::string &service);

    std::map<std::string, KnownEndpoint, std::less<>> nodes;
    std::map<std::string, std::uint64_t> removed; // revision at which an object was deleted
    std::map<std::string, std::vector<const KnownEndpoint *>, std::less<>> readyByService;
};
} // namespace figpulley::discovery
