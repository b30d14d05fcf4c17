#pragma once

#include "mesh/meshcontext.h"

#include <functional>
#include <memory>
#include <string>

namespace figpulley::mesh
{
/// Asks the endpoint on this VM for its health after a start of the node, which shows sooner than its heartbeats whether it is in service.
class EndpointProbe : public std::enable_shared_from_this<EndpointProbe>
{
public:
    /// @param onInService receives the id that the endpoint gives itself when it states that it is in service
    EndpointProbe(MeshContext context, std::function<void(const std::string &endpointId)> onInService);
    ~EndpointProbe();
    EndpointProbe(const EndpointProbe &) = delete;
    EndpointProbe &operator=(const EndpointProbe &) = delete;

    /// Asks a few times, until the endpoint needs no confirmation any more or states something else than that it is in service.
    void start();

private:
    void check();
    void ask(const std::string &healthPath);
    void handleResponse(const net::ClientResponse &response);
    void scheduleCheck();

    MeshContext context;
    std::function<void(const std::string &)> onInService;
    net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    int checksLeft = 0;
    int requestsLeft = 0;
    bool isAsking = false;
};
} // namespace figpulley::mesh
