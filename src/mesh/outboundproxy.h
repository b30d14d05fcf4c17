#pragma once

#include "mesh/attempthead.h"
#include "mesh/meshcontext.h"
#include "mesh/snapshotexchange.h"
#include "net/relayserver.h"
#include "routing/attemptplan.h"
#include "routing/chaintable.h"
#include "routing/clienttimeouthistory.h"
#include "routing/endpointpicker.h"
#include "routing/retrybudget.h"
#include "routing/splitpicker.h"

#include <memory>
#include <unordered_set>

namespace figpulley::mesh
{
/// Receives requests of clients and of the endpoint on this VM and sends them to the nodes of endpoints.
class OutboundProxy
{
public:
    /// @param chains requests that the endpoint on this VM is running
    /// @param retryBudget shared with the proxy that admits repeated requests to the endpoint
    OutboundProxy(MeshContext context, SnapshotExchange &snapshots, routing::ChainTable &chains, routing::RetryBudget &retryBudget);
    ~OutboundProxy();
    OutboundProxy(const OutboundProxy &) = delete;
    OutboundProxy &operator=(const OutboundProxy &) = delete;

    /// Applies the client limits of a configuration, and forgets what is known of routes that it does not have.
    void applyConfiguration(const routing::RouteTable &routes);

    /// Ends all open requests, because the process exits. They are reported as not run where that is certain.
    void endOpenCalls();

    /// Returns the number of requests without a complete response.
    [[nodiscard]] std::size_t inFlight() const noexcept;

    /// Number of responses that were not sent completely yet; a client that reads slowly delays them.
    [[nodiscard]] std::size_t unsentResponses() const noexcept;

    /// Returns the time at which the last request arrived.
    [[nodiscard]] core::TimePoint lastArrival() const noexcept;

private:
    class Call;

    void accept(std::shared_ptr<net::HttpExchange> exchange);
    void setClientLimits(const routing::ClientLimits &limits);
    void forgetRemovedRoutes(const routing::RouteTable &routes);

    MeshContext context;
    SnapshotExchange &snapshots;
    routing::ChainTable &chains;
    routing::EndpointPicker picker;
    routing::RetryBudget &retryBudget;
    routing::SplitPicker splits;
    routing::ClientTimeoutHistory timeoutHistory;
    std::unordered_set<Call *> calls;
    core::TimePoint lastArrivalAt {};
    std::unique_ptr<net::RelayServer> server;
};
} // namespace figpulley::mesh
