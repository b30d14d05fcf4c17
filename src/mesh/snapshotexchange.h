#pragma once

#include "mesh/meshcontext.h"
#include "mesh/updaters.h"

#include <memory>
#include <string>

namespace figpulley::mesh
{
/// Fetches configuration and directory from peers that have a newer configuration, so that a node that cannot reach the store catches up
/// through the requests that it receives.
class SnapshotExchange
{
public:
    SnapshotExchange(MeshContext context, ConfigUpdater &config, DirectoryUpdater &directory);

    /// Fetches a snapshot from a peer whose configuration version is newer than the active one.
    /// @param node ip:port of the peer's ingress
    void fetchIfNewer(const std::string &node, std::uint64_t version);

    /// Returns this node's configuration and directory as JSON.
    [[nodiscard]] std::string snapshot() const;

    /// Header that marks a request to a node's ingress as a request for a snapshot.
    static constexpr const char *header = "Figpulley-Snapshot";

private:
    void handleSnapshot(const std::string &node, const net::ClientResponse &response);

    MeshContext context;
    ConfigUpdater &config;
    DirectoryUpdater &directory;
    bool isFetching = false;
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true); // expires with this object; a fetch may end later
};
} // namespace figpulley::mesh
