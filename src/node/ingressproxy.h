#pragma once

#include "decide/ingresscontroller.h"
#include "net/httpserver.h"
#include "node/nodecontext.h"

#include <memory>
#include <unordered_map>

namespace figpulley::node
{
/// Accepts calls from other nodes, subjects them to admission control, and runs them on the upstream of this VM.
class IngressProxy
{
public:
    explicit IngressProxy(NodeContext context);
    ~IngressProxy();
    IngressProxy(const IngressProxy &) = delete;
    IngressProxy &operator=(const IngressProxy &) = delete;

    [[nodiscard]] net::Address address() const;

    /// Performs the periodic work of admission control. Must be called every few milliseconds.
    void tick();

    /// Returns the number of calls that are queued or running, for the report of a stop that exceeded its time limit.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    class Run;

    void accept(std::shared_ptr<net::HttpExchange> exchange);
    void performActions(const std::vector<decide::IngressAction> &actions);

    NodeContext context;
    decide::IngressController controller;
    std::unordered_map<std::uint64_t, std::shared_ptr<Run>> runs;
    std::unique_ptr<net::HttpServer> server;
};
} // namespace figpulley::node
