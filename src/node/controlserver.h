#pragma once

#include "decide/configcontroller.h"
#include "decide/draincontroller.h"
#include "members/endpointdirectory.h"
#include "members/swim.h"
#include "net/datagramsocket.h"
#include "net/httpserver.h"
#include "node/nodecontext.h"
#include "store/httpobjectstore.h"
#include "sync/configrelay.h"
#include "sync/snapshotstore.h"

#include <functional>
#include <memory>
#include <optional>

namespace figpulley::node
{
/// Counters of a node's control traffic since its start.
struct ControlTraffic
{
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t rejected = 0; ///< datagrams without a valid signature or with a malformed message
    std::uint64_t configFetches = 0;
};

/// Serves the control address of a node: membership and configuration between nodes, and status and metrics for operators.
/// Also exchanges configuration and contact points with the platform, and polls the upstream for draining.
class ControlServer
{
public:
    explicit ControlServer(NodeContext context);
    ~ControlServer();
    ControlServer(const ControlServer &) = delete;
    ControlServer &operator=(const ControlServer &) = delete;

    /// Joins the other nodes. The identity on the blackboard must be complete.
    void start();

    /// Announces to the other nodes that this node is leaving, or that it accepts calls again.
    void announceLeaving(bool isLeaving);

    [[nodiscard]] net::Address address() const;
    [[nodiscard]] const ControlTraffic &traffic() const noexcept;

private:
    void tick();
    void receive(const net::Address &from, std::string_view bytes);
    void sendAll(const members::OutgoingMessages &list);
    void updateDirectory();
    void recordAdvertisedRevision(const members::SwimMessage &message);
    void fetchConfig();
    void applySnapshot(sync::Snapshot snapshot);
    void pollUpstream();
    void scheduleContactRefresh();
    void readContacts();
    void publishContacts();
    void handleRequest(const std::shared_ptr<net::HttpExchange> &exchange);
    [[nodiscard]] std::string statusJson() const;
    void updateGauges();

    NodeContext context;
    members::Swim swim;
    members::EndpointDirectory directory;
    decide::ConfigController configController;
    decide::DrainController drainController;
    sync::SnapshotStore snapshots;
    std::unique_ptr<net::HttpServer> server;
    std::unique_ptr<net::DatagramSocket> socket;
    std::unique_ptr<store::HttpObjectStore> store;
    std::shared_ptr<sync::ConfigRelay> relay;
    std::uint64_t directoryGeneration = 0;
    std::uint64_t wantedRevision = 0;
    std::string wantedRevisionPeer; ///< control address of the peer that advertised `wantedRevision`
    bool isFetching = false;
    std::string configProblem; ///< why the newest revision could not be loaded; empty after a success
    ControlTraffic counters;
    std::vector<net::EventLoop::TimerId> timers;
    net::EventLoop::TimerId contactsTimer = net::EventLoop::noTimer;
};
} // namespace figpulley::node
