#pragma once

#include "mesh/answerpool.h"
#include "mesh/changerelay.h"
#include "mesh/collectionfollower.h"
#include "mesh/controlserver.h"
#include "mesh/inboundproxy.h"
#include "mesh/localregistrar.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"
#include "mesh/neighbourcontacts.h"
#include "mesh/outboundproxy.h"
#include "mesh/peercalls.h"
#include "mesh/peerinquiry.h"
#include "mesh/relayedstore.h"
#include "mesh/snapshotexchange.h"
#include "mesh/updaters.h"
#include "net/relayclient.h"
#include "store/eracheckedstore.h"

#include <functional>
#include <memory>
#include <optional>

namespace figpulley::mesh
{
/// A node next to one endpoint. It finds its peers through the object store and sends requests to their endpoints.
class MeshNode
{
public:
    /// Binds all listening addresses.
    /// @throws std::runtime_error if an address cannot be bound
    MeshNode(net::EventLoop &loop, net::HttpClient &client, MeshSettings settings, const WireFormat &wire, store::CollectionStore &store);
    ~MeshNode();
    MeshNode(const MeshNode &) = delete;
    MeshNode &operator=(const MeshNode &) = delete;

    void start();

    /// Applies the log level, the grace time, the retry budget and the limit probe interval of changed settings.
    /// @returns false if any other setting has changed, which needs a restart
    bool reload(const MeshSettings &changed);

    /// Begins a planned stop: reports that the node is not ready, refuses new attempts as not run and finishes the requests in flight.
    /// Later calls do nothing.
    /// @param onStopped called when no requests are left or the grace time is over; receives the number of requests that were cut off
    void stop(std::function<void(std::size_t)> onStopped);

    [[nodiscard]] bool isReady() const noexcept;

    [[nodiscard]] const MeshBoard &board() const noexcept;

    /// Number of requests of clients and of attempts of other nodes that have not ended.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    /// How a collection is read, and what other nodes get of it.
    struct FollowOptions
    {
        core::Duration changeDelay {}; ///< time between a watch with changes and the next one
        std::string onlyObject; ///< name of the only object that other nodes need; empty for all
        store::ChangeLogLimits limits;
    };

    void checkStop();
    void reportLoad();
    void reportUnreadable(const std::string &collection, std::size_t count);
    void activateRoutes(const std::string &text);
    void handlePeerAnswer(const std::string &node, bool isSuccessor, core::Duration keptFor);
    void handleContact(const ContactGreeting &greeting);
    void handleInquiryEnded();
    void scheduleRemovalOfLost(std::uint64_t era);
    void handleStoreRestored(std::uint64_t earlierEra, std::uint64_t era);
    [[nodiscard]] std::shared_ptr<CollectionFollower> follow(const std::string &collection, const CollectionListener &listener,
                                                             const FollowOptions &options);
    [[nodiscard]] core::Duration watchTimeout();

    net::EventLoop &loop;
    MeshSettings settings;
    const WireFormat &wire;
    core::Random random;
    MeshBoard boardSections;
    node::NodeMetrics metrics;
    core::LogSampler sampler;
    store::EraCheckedStore eraCheckedStore;
    net::RelayClient relay;
    AnswerPool answers;
    MeshContext context;
    ConfigUpdater configUpdater;
    DirectoryUpdater directoryUpdater;
    SnapshotExchange snapshots;
    PeerInquiry peerInquiry;
    NeighbourContacts contacts;
    ChangeRelay changes;
    PeerCalls peerCalls;
    routing::RetryBudget retryBudget;
    RelayedStore relayedStore;
    std::shared_ptr<LocalRegistrar> registrar;
    std::unique_ptr<InboundProxy> inbound;
    std::unique_ptr<OutboundProxy> outbound;
    std::unique_ptr<ControlServer> control;
    std::shared_ptr<CollectionFollower> routesFollower;
    std::shared_ptr<CollectionFollower> endpointsFollower;
    std::function<void(std::size_t)> onStopped;
    std::string heldRoutes; // configuration of the store that waits for the end of the inquiry
    std::optional<discovery::EndpointRecord> storedOwnRecord; // record of this VM's endpoint as the collection has shown it
    std::uint64_t restoresSeen = 0;
    std::uint64_t unreadableObjects = 0; // objects and changes of the store that were skipped since the start
    net::EventLoop::TimerId loadTimer = net::EventLoop::noTimer;
    net::EventLoop::TimerId stopTimer = net::EventLoop::noTimer;
    net::EventLoop::TimerId removalTimer = net::EventLoop::noTimer;
    std::uint64_t awaitedEra = 0; // era in which lost records are awaited; 0 if none are
};
} // namespace figpulley::mesh
