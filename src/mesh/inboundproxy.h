#pragma once

#include "gate/slotqueue.h"
#include "mesh/attempthead.h"
#include "mesh/conditionupdater.h"
#include "mesh/dispatchcounts.h"
#include "mesh/meshcontext.h"
#include "mesh/peercalls.h"
#include "mesh/snapshotexchange.h"
#include "net/relayserver.h"
#include "routing/chaintable.h"
#include "routing/endpointcondition.h"
#include "routing/retrybudget.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace figpulley::mesh
{
/// Receives attempts of other nodes and runs them on the endpoint of this VM. All requests to the endpoint pass through this proxy,
/// so its checks of the endpoint's identity, departure and admission are decisive. Other nodes may have an
/// outdated record of the endpoint, and use it only to avoid attempts that this proxy would refuse.
class InboundProxy
{
public:
    /// @param registrar receives departures that the endpoint states in its responses
    /// @param peerCalls receives the calls of other nodes that are no attempts
    /// @param retryBudget from which the calls of repeated requests are acquired before these run
    InboundProxy(MeshContext context, LocalRegistrar &registrar, SnapshotExchange &snapshots, PeerCalls &peerCalls,
                 routing::RetryBudget &retryBudget);
    ~InboundProxy();
    InboundProxy(const InboundProxy &) = delete;
    InboundProxy &operator=(const InboundProxy &) = delete;

    /// Refuses all queued attempts, because the endpoint accepts no new requests any more.
    void refuseQueued();

    /// Refuses all queued attempts once an attempt that starts now would probably not end in time.
    /// @param dueAt time by which attempts have to end
    void refuseUnfinishable(core::TimePoint dueAt);

    [[nodiscard]] routing::EndpointLoad load() const noexcept;

    /// Returns the requests that the endpoint is running.
    [[nodiscard]] routing::ChainTable &chains() noexcept;

    /// Returns the moving average of the endpoint's processing time.
    [[nodiscard]] core::Duration meanRunTime() const noexcept;

    /// Sets the interval at which requests are sent to the endpoint even if its rate limit allows fewer.
    void setLimitProbeInterval(core::Duration interval);

    /// Returns the requests that were sent to the endpoint since the last call.
    [[nodiscard]] DispatchCounts takeDispatchCounts();

    /// Returns the number of attempts that are running or queued.
    [[nodiscard]] std::size_t inFlight() const noexcept;

    /// Number of responses that were not sent completely yet; a client that reads slowly delays them.
    [[nodiscard]] std::size_t unsentResponses() const noexcept;

private:
    class Attempt;

    void accept(std::shared_ptr<net::HttpExchange> exchange);
    [[nodiscard]] core::ErrorKind validate(const AttemptHead &head) const;
    void applyDecisions(const std::vector<gate::SlotDecision> &decisions);
    void scheduleExpiry();
    void scheduleStart();
    void cancelStart();
    void updateCondition(const AttemptHead &head, std::string_view conditionHeader);
    void applyRateLimit(std::string_view source);
    [[nodiscard]] std::optional<routing::EndpointCondition> reportedCondition() const;
    MeshContext context;
    LocalRegistrar &registrar;
    SnapshotExchange &snapshots;
    PeerCalls &peerCalls;
    routing::RetryBudget &retryBudget;
    ConditionUpdater conditionUpdater;
    gate::SlotQueue queue;
    routing::ChainTable chainTable;
    std::unordered_map<std::uint64_t, std::shared_ptr<Attempt>> attempts;
    DispatchCounts dispatchCounts;
    std::uint64_t nextEntryId = 1;
    net::EventLoop::TimerId expiryTimer = net::EventLoop::noTimer;
    net::EventLoop::TimerId startTimer = net::EventLoop::noTimer; // next time at which the rate limit allows a waiting attempt to start
    std::unique_ptr<net::RelayServer> server;
};
} // namespace figpulley::mesh
