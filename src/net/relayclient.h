#pragma once

#include "net/eventloop.h"
#include "net/httpsender.h"

#include <memory>

namespace figpulley::net
{
/// Sends requests that are passed on, over kept connections by address, with few calls to the kernel per request. It never sends a
/// request twice. HTTP is read by Boost.Beast's parser.
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
