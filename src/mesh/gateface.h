#pragma once

#include "gate/slotqueue.h"
#include "mesh/attempthead.h"
#include "mesh/changerelay.h"
#include "mesh/meshcontext.h"
#include "mesh/snapshotexchange.h"
#include "net/relayserver.h"
#include "routing/chaintable.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace figpulley::mesh
{
/// Takes attempts of other nodes and runs them on the endpoint of this VM. All requests to the endpoint pass here, so this is where
/// identity, departure and admission are decided; what other nodes know only saves them a hop.
class GateFace
{
public:
    GateFace(MeshContext context, SnapshotExchange &snapshots, ChangeRelay &changes);
    ~GateFace();
    GateFace(const GateFace &) = delete;
    GateFace &operator=(const GateFace &) = delete;

    /// The endpoint takes no new requests any more: refuses those that wait.
    void closeGate();

    [[nodiscard]] routing::EndpointLoad load() const noexcept;

    /// Requests that the endpoint runs now.
    [[nodiscard]] routing::ChainTable &chains() noexcept;

    /// Moving average of the time that the endpoint takes.
    [[nodiscard]] core::Duration meanRun() const noexcept;

    /// Attempts that run or wait.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    class Run;

    void accept(std::shared_ptr<net::HttpExchange> exchange);
    [[nodiscard]] core::ErrorKind check(const AttemptHead &head) const;
    void carryOut(const std::vector<gate::SlotDecision> &decisions);
    void armExpiry();
    MeshContext context;
    SnapshotExchange &snapshots;
    ChangeRelay &changes;
    gate::SlotQueue queue;
    routing::ChainTable chainTable;
    std::unordered_map<std::uint64_t, std::shared_ptr<Run>> runs;
    std::uint64_t nextEntry = 1;
    net::EventLoop::TimerId expiryTimer = net::EventLoop::noTimer;
    std::unique_ptr<net::RelayServer> server;
};
} // namespace figpulley::mesh
