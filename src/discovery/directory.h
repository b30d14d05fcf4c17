#pragma once

#include "core/time.h"
#include "discovery/endpointrecord.h"
#include "store/position.h"

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
    store::Position position; ///< latest position in the store at which this record was read
    core::TimePoint knownSince {}; ///< when this node first read a record of this incarnation
    core::TimePoint coldUntil {}; ///< end of the endpoint's cold start
};

/// All endpoints that are recorded in the store, by node and by service. Of two records of a node, the later one by the node's own count
/// wins, since a restored store may have lost the latest writes, a write may take effect late, and a node tells a departure that the store
/// does not have. Otherwise the later position wins.
class Directory
{
public:
    /// Adds or replaces a node's record, unless the known one or the deletion of the object is newer.
    /// @param position position in the store at which the record was read, here or by a peer
    /// @returns whether the directory has changed
    bool put(const EndpointRecord &record, store::Position position, core::TimePoint now);

    /// Takes over the record that a node tells after a departure. What it states of departures holds whatever the store has.
    /// @returns whether the directory now shows all departures that the record states; false if the node is unknown
    bool applyTold(const EndpointRecord &record);

    /// Removes a node whose object was deleted or cannot be read, unless a newer position is known.
    /// @returns whether the directory has changed
    bool remove(const std::string &node, store::Position position);

    /// Removes the nodes that a complete list does not contain. Keeps those of which a newer position or one of an earlier era is known:
    /// what a restore has lost is written again by its node.
    /// @param listed all nodes of the list
    /// @param position position of the store when the list was begun
    void retain(const std::unordered_set<std::string> &listed, store::Position position);

    /// Number of records that were last read before an era, except those of endpoints that have left for good. After a list of this era,
    /// these are the ones that the store has lost.
    [[nodiscard]] std::size_t countBefore(std::uint64_t era) const;

    /// Removes the nodes that countBefore() counts, since their records were not written again.
    /// @param kept node that is not removed; empty for none
    /// @returns the removed nodes
    std::vector<std::string> removeBefore(std::uint64_t era, std::string_view kept = {});

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
    [[nodiscard]] static bool isNewer(const EndpointRecord &record, store::Position position, const KnownEndpoint &known);
    void rebuildReadyList(const std::string &service);

    std::map<std::string, KnownEndpoint, std::less<>> nodes;
    std::map<std::string, store::Position> deletions; // position at which the object of each node was deleted
    std::map<std::string, EndpointRecord> lostRecords; // records that removeBefore() has removed; older ones of their nodes are ignored
    std::uint64_t listedEra = 0; // era of the last complete list
    std::map<std::string, std::vector<const KnownEndpoint *>, std::less<>> readyByService;
};
} // namespace figpulley::discovery
