#pragma once

#include "decide/callcontroller.h"
#include "net/httpserver.h"
#include "node/nodecontext.h"

#include <memory>

namespace figpulley::node
{
/// Accepts root calls from clients and nested calls from the upstream on this VM, and sends them to the nodes of endpoints.
class EgressProxy
{
public:
    explicit EgressProxy(NodeContext context);
    ~EgressProxy();
    EgressProxy(const EgressProxy &) = delete;
    EgressProxy &operator=(const EgressProxy &) = delete;

    [[nodiscard]] net::Address entranceAddress() const;
    [[nodiscard]] net::Address nestedAddress() const;

    /// Stops accepting connections from clients.
    void stopAccepting();

private:
    class Call;

    void accept(std::shared_ptr<net::HttpExchange> exchange, bool isNested);

    NodeContext context;
    decide::CallController controller;
    std::uint64_t nextCall = 1;
    std::unique_ptr<net::HttpServer> entrance;
    std::unique_ptr<net::HttpServer> nested;
};
} // namespace figpulley::node
