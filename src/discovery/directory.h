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
/// Record of an endpoint, and when this node read it.
struct KnownEndpoint
{
    EndpointRecord record;
    std::uint64_t revision = 0; ///< revision of the object in the store
    core::TimePoint knownSince {}; ///< when this node first read a record of this incarnation
    core::TimePoint coldUntil {}; ///< end of the endpoint's cold start
};

/// All endpoints that are recorded in the store, by node and by service.
class Directory
{
public:
    /// Adds or replaces a node's record. A revision that is not newer than the known one, or than the deletion of the object, is
    /// ignored.
    /// @returns whether the directory has changed
    bool put(const EndpointRecord &record, std::uint64_t revision, core::TimePoint now);

    /// Removes a node whose object was deleted or cannot be read, unless a newer revision is known.
    /// @returns whether the directory has changed
    bool remove(const std::string &node, std::uint64_t revision);

    /// Removes the nodes that a complete list does not contain, unless a newer revision of them is known.
    /// @param listed all nodes of the list
    /// @param revision revision of the store when the list was begun
    void retain(const std::unordered_set<std::string> &listed, std::uint64_t revision);

    /// Endpoints of a service that may receive new requests.
    [[nodiscard]] const std::vector<const KnownEndpoint *> &readyEndpoints(std::string_view service) const;

    /// @returns the node's endpoint, or nullptr if the node is unknown
    [[nodiscard]] const KnownEndpoint *find(std::string_view node) const;

    /// Number of known nodes, with endpoints in any state.
    [[nodiscard]] std::size_t size() const noexcept;

    /// Number of known nodes of a zone, with endpoints in any state.
    [[nodiscard]] std::size_t countInZone(std::string_view zone) const;

    /// All known endpoints, ordered by node.
    [[nodiscard]] std::vector<const KnownEndpoint *> allEndpoints() const;

private:
    void rebuildReadyList(const std::string &service);

    std::map<std::string, KnownEndpoint, std::less<>> nodes;
    std::map<std::string, std::uint64_t> deletionRevisions; // revision at which the object of each node was deleted
    std::map<std::string, std::vector<const KnownEndpoint *>, std::less<>> readyByService;
};
} // namespace figpulley::discovery
