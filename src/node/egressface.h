#pragma once

#include "decide/callcontroller.h"
#include "net/httpserver.h"
#include "node/nodecontext.h"

#include <memory>

namespace figpulley::node
{
/// Takes calls from clients and from the upstream on this VM, and sends them to endpoints' nodes.
class EgressFace
{
public:
    explicit EgressFace(NodeContext context);
    ~EgressFace();
    EgressFace(const EgressFace &) = delete;
    EgressFace &operator=(const EgressFace &) = delete;

    [[nodiscard]] net::Address entranceAddress() const;
    [[nodiscard]] net::Address nestedAddress() const;

    /// Takes no new connections from clients any more.
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
