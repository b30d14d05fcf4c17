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
/// Control traffic of one node, as counted since its start.
struct ControlTraffic
{
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t rejected = 0; ///< datagrams that proved nothing or were malformed
    std::uint64_t configFetches = 0;
};

/// Membership, configuration, drain, status and metrics, with the other nodes, the platform and operators.
class ControlFace
{
public:
    explicit ControlFace(NodeContext context);
    ~ControlFace();
    ControlFace(const ControlFace &) = delete;
    ControlFace &operator=(const ControlFace &) = delete;

    /// Joins the others; the identity on the blackboard has to be complete.
    void start();

    /// Announces that this node is leaving, or has come back.
    void announceLeaving(bool isLeaving);

    [[nodiscard]] net::Address address() const;
    [[nodiscard]] const ControlTraffic &traffic() const noexcept;

private:
    void tick();
    void receive(const net::Address &from, std::string_view bytes);
    void sendAll(const members::OutgoingList &list);
    void followMembership();
    void noteRevision(const members::SwimMessage &message);
    void fetchConfig();
    void takeSnapshot(sync::Snapshot snapshot);
    void pollUpstream();
    void scheduleContacts();
    void refreshContacts();
    void publishContacts();
    void handle(const std::shared_ptr<net::HttpExchange> &exchange);
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
    std::uint64_t seenGeneration = 0;
    std::uint64_t wantedRevision = 0;
    std::string wantedFrom; ///< control address of a peer that has it
    bool isFetching = false;
    std::string configProblem; ///< why the newest revision could not be compiled
    ControlTraffic counted;
    std::vector<net::EventLoop::TimerId> timers;
    net::EventLoop::TimerId contactsTimer = net::EventLoop::noTimer;
};
} // namespace figpulley::node
