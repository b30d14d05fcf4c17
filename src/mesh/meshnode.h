#pragma once

#include "mesh/changerelay.h"
#include "mesh/collectionfollower.h"
#include "mesh/controlface.h"
#include "mesh/gateface.h"
#include "mesh/keepers.h"
#include "mesh/localrecorder.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"
#include "mesh/outboundface.h"
#include "mesh/relayedstore.h"
#include "mesh/snapshotexchange.h"
#include "net/relayclient.h"

#include <functional>
#include <memory>

namespace figpulley::mesh
{
/// A node that stands beside one endpoint, finds its peers through the object store and sends requests to their endpoints.
class MeshNode
{
public:
    /// Binds all addresses.
    /// @throws std::runtime_error if one cannot be bound
    MeshNode(net::EventLoop &loop, net::HttpClient &client, MeshSettings settings, const WireFormat &wire, store::CollectionStore &store);
    ~MeshNode();
    MeshNode(const MeshNode &) = delete;
    MeshNode &operator=(const MeshNode &) = delete;

    void start();

    /// Takes over changed settings: the log level, the grace time and the retry budget.
    /// @returns false if something else has changed, which needs a restart
    bool reload(const MeshSettings &changed);

    /// Begins a planned stop: tells that it takes no clients, refuses new attempts as not run, finishes what it has.
    /// @param onStopped called when all is done or the grace is over; receives the requests cut off
    void stop(std::function<void(std::size_t)> onStopped);

    [[nodiscard]] bool isReady() const noexcept;

    [[nodiscard]] const MeshBoard &board() const noexcept;

private:
    void checkStop();
    void reportLoad();
    [[nodiscard]] std::size_t inFlight() const noexcept;
    [[nodiscard]] std::shared_ptr<CollectionFollower> follow(const std::string &collection, const CollectionListener &listener,
                                                             core::Duration pause);
    [[nodiscard]] core::Duration watchWait();

    net::EventLoop &loop;
    MeshSettings settings;
    const WireFormat &wire;
    core::Random random;
    MeshBoard blackboard;
    node::NodeMetrics metrics;
    core::LogSampler sampler;
    net::RelayClient relay;
    MeshContext context;
    ConfigKeeper config;
    DirectoryKeeper directory;
    SnapshotExchange snapshots;
    ChangeRelay changes;
    RelayedStore relayedStore;
    std::shared_ptr<LocalRecorder> recorder;
    std::unique_ptr<GateFace> gate;
    std::unique_ptr<OutboundFace> outbound;
    std::unique_ptr<ControlFace> control;
    std::shared_ptr<CollectionFollower> routesFollower;
    std::shared_ptr<CollectionFollower> endpointsFollower;
    std::function<void(std::size_t)> onStopped;
    net::EventLoop::TimerId loadTimer = net::EventLoop::noTimer;
    net::EventLoop::TimerId stopTimer = net::EventLoop::noTimer;
};
} // namespace figpulley::mesh
