#pragma once

#include "mesh/meshcontext.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace figpulley::mesh
{
/// Asks the endpoint on this VM for its health while only a sign of the endpoint is missing before it accepts requests. This shows sooner
/// than its heartbeats whether it is in service.
class EndpointProbe : public std::enable_shared_from_this<EndpointProbe>
{
public:
    /// Receives the id that the endpoint gives itself when it states that it is in service, and the time at which it was asked.
    using HealthCallback = std::function<void(const std::string &endpointId, core::TimePoint askedAt)>;

    EndpointProbe(MeshContext context, HealthCallback onInService);
    ~EndpointProbe();
    EndpointProbe(const EndpointProbe &) = delete;
    EndpointProbe &operator=(const EndpointProbe &) = delete;

    /// Asks, at growing intervals, until the endpoint needs no confirmation any more. A busy endpoint may refuse a health check.
    void start();

private:
    void check();
    void ask(const std::string &healthPath);
    void handleResponse(const net::ClientResponse &response, core::TimePoint askedAt);
    void scheduleCheck();

    MeshContext context;
    HealthCallback onInService;
    net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    core::TimePoint nextRequestAt {};
    std::string endpointId; // endpoint and incarnation that were asked last
    std::int64_t incarnation = 0;
    int requests = 0; // to this incarnation
    bool isAsking = false;
};
} // namespace figpulley::mesh
