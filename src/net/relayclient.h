#pragma once

#include "net/eventloop.h"
#include "net/httpsender.h"

#include <memory>

namespace figpulley::net
{
/// HTTP client of the proxies. It pools connections by address, needs few system calls per request, and never sends a request twice.
/// Responses are parsed with Boost.Beast.
class RelayClient : public HttpSender
{
public:
    explicit RelayClient(EventLoop &loop);
    ~RelayClient() override;

    TransferId send(const ClientRequest &request, ClientCallbacks callbacks) override;
    void cancel(TransferId transfer) override;
    void resume(TransferId transfer) override;

private:
    class Implementation;
    class Connection;
    std::shared_ptr<Implementation> implementation;
};
} // namespace figpulley::net
