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
/// Takes requests of the clients and of the endpoint on this VM and sends them to nodes beside endpoints.
class OutboundFace
{
public:
    /// @param chains requests that the endpoint on this VM runs
    OutboundFace(MeshContext context, SnapshotExchange &snapshots, routing::ChainTable &chains);
    ~OutboundFace();
    OutboundFace(const OutboundFace &) = delete;
    OutboundFace &operator=(const OutboundFace &) = delete;

    /// What clients may send from now on, on open connections too.
    void setClientLimits(const routing::ClientLimits &limits);

    void setRetryBudget(const routing::RetryBudgetRules &rules);

    /// Answers all requests that are still open, since the process ends: as not run where that is certain.
    void answerOpen();

    /// Requests that are not answered yet.
    [[nodiscard]] std::size_t inFlight() const noexcept;

    /// When the last request arrived.
    [[nodiscard]] core::TimePoint lastArrival() const noexcept;

private:
    class Call;

    void accept(std::shared_ptr<net::HttpExchange> exchange);

    MeshContext context;
    SnapshotExchange &snapshots;
    routing::ChainTable &chains;
    routing::EndpointPicker picker;
    routing::RetryBudget retryBudget;
    routing::SplitPicker splits;
    routing::ClientTimeoutHistory patience;
    std::unordered_set<Call *> calls;
    core::TimePoint arrivedLast {};
    std::unique_ptr<net::RelayServer> server;
};
} // namespace figpulley::mesh
