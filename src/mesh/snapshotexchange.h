#pragma once

#include "mesh/keepers.h"
#include "mesh/meshcontext.h"

#include <memory>
#include <string>

namespace figpulley::mesh
{
/// Fetches configuration and directory from a peer that has a newer configuration, so that a node that the store does not answer
/// catches up through the requests that reach it.
class SnapshotExchange
{
public:
    SnapshotExchange(MeshContext context, ConfigKeeper &config, DirectoryKeeper &directory);

    /// A peer has shown its configuration's version.
    /// @param node ip:port of the peer's ingress
    void peerHas(const std::string &node, std::uint64_t version);

    /// What this node knows, for a peer.
    [[nodiscard]] std::string snapshot() const;

    /// Header of a request for a snapshot, at a node's ingress.
    static constexpr const char *header = "Figpulley-Snapshot";

private:
    void received(const std::string &node, const net::ClientResponse &answer);

    MeshContext context;
    ConfigKeeper &config;
    DirectoryKeeper &directory;
    bool isFetching = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); // a fetch may end after this object
};
} // namespace figpulley::mesh
