#pragma once

#include "mesh/fwd.h"
#include "net/httpexchange.h"

#include <memory>

namespace figpulley::mesh
{
/// Passes the calls of other nodes that are no attempts of requests to the components that answer them.
class PeerCalls
{
public:
    PeerCalls(SnapshotExchange &snapshots, ChangeRelay &changes, NeighbourContacts &contacts, DirectoryUpdater &directory);

    /// @returns whether the exchange is such a call
    bool accept(const std::shared_ptr<net::HttpExchange> &exchange);

private:
    SnapshotExchange &snapshots;
    ChangeRelay &changes;
    NeighbourContacts &contacts;
    DirectoryUpdater &directory;
};
} // namespace figpulley::mesh
