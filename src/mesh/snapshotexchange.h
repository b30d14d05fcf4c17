#pragma once

#include "mesh/answerpool.h"
#include "mesh/meshcontext.h"
#include "mesh/updaters.h"
#include "net/httpexchange.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace figpulley::mesh
{
/// What a peer has answered, beside the configuration and the records.
struct SnapshotSummary
{
    bool hasConfig = false; ///< whether the peer has sent a configuration
    core::Duration keptFor {}; ///< for how long the peer has kept what other nodes have told it; 0 if it states none
};

/// Fetches configuration and directory from peers: from those that have a newer configuration, so that a node that cannot reach the store
/// catches up through the requests that it receives, and from a few after the start.
class SnapshotExchange
{
public:
    /// Receives what a peer has answered; without a configuration if the call has failed.
    using SnapshotCallback = std::function<void(const SnapshotSummary &)>;

    SnapshotExchange(MeshContext context, ConfigUpdater &config, DirectoryUpdater &directory);

    /// Fetches a snapshot from a peer whose configuration version is newer than the active one.
    /// @param node ip:port of the peer's ingress
    void fetchIfNewer(const std::string &node, std::uint64_t version);

    /// Fetches the configuration, and the record of this VM's endpoint, from a peer.
    /// @param node ip:port of the peer's ingress
    /// @param onDone called when the answer was applied or the call has failed
    void fetchOwn(const std::string &node, SnapshotCallback onDone);

    /// Fetches the configuration and the records of all nodes, or a part of them if they are many, from a peer.
    /// @param node ip:port of the peer's ingress
    /// @param onDone called when the answer was applied or the call has failed
    void fetchAll(const std::string &node, SnapshotCallback onDone);

    /// Answers a request for this node's configuration and directory; refuses it while the texts of earlier answers fill the pool.
    /// @param selection value of the request's header: "1" for all records, or ip:port of the only node whose record is wanted
    void accept(std::string_view selection, net::HttpExchange &exchange);

    /// Header that marks a request to a node's ingress as a request for a snapshot.
    static constexpr const char *header = "Figpulley-Snapshot";

private:
    void fetch(const std::string &node, const std::string &selection, SnapshotCallback onDone);
    [[nodiscard]] std::string snapshot(std::string_view selection);
    SnapshotSummary handleSnapshot(const std::string &node, const net::ClientResponse &response);

    MeshContext context;
    ConfigUpdater &config;
    DirectoryUpdater &directory;
    std::weak_ptr<const std::string> latestText; // latest snapshot of all records, as long as a connection writes it
    std::uint64_t latestVersion = 0; // version of its configuration
    core::TimePoint latestMadeAt {};
    core::TimePoint startedAt = core::steadyNow();
    std::size_t nextRecord = 0; // position in the directory of the first record of the next snapshot
    bool isFetching = false;
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true); // expires with this object; a fetch may end later
};
} // namespace figpulley::mesh
