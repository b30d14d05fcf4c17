#pragma once

#include "decide/ingresscontroller.h"
#include "net/httpserver.h"
#include "node/nodecontext.h"

#include <memory>
#include <unordered_map>

namespace figpulley::node
{
/// Takes calls from other nodes, admits them, and runs them on the upstream of this VM.
class IngressFace
{
public:
    explicit IngressFace(NodeContext context);
    ~IngressFace();
    IngressFace(const IngressFace &) = delete;
    IngressFace &operator=(const IngressFace &) = delete;

    [[nodiscard]] net::Address address() const;

    /// Periodic work; call it every few milliseconds.
    void tick();

    /// Calls that are in flight now, for a stop that ran out of time.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    class Run;

    void accept(std::shared_ptr<net::HttpExchange> exchange);
    void carryOut(const std::vector<decide::IngressAction> &actions);

    NodeContext context;
    decide::IngressController controller;
    std::unordered_map<std::uint64_t, std::shared_ptr<Run>> runs;
    std::unique_ptr<net::HttpServer> server;
};
} // namespace figpulley::node
