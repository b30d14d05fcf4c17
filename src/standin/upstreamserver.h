#pragma once

#include "core/random.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "standin/runlog.h"

#include <deque>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace figpulley::standin
{
/// A call that a stand-in upstream makes while it runs a request.
struct NestedCall
{
    std::string service;
    std::string method = "GET";
    std::string path = "/";
};

/// How a stand-in upstream processes the requests whose path has a prefix.
struct UpstreamRoute
{
    std::string pathPrefix = "/";
    core::Duration serviceTime {}; ///< mean; the values are distributed uniformly within 20% of it
    std::size_t responseBytes = 0; ///< length of the response body, which is never shorter than its `work=...;` prefix
    std::vector<NestedCall> nested; ///< calls made one after the other, while the request holds its slot
};

/// Configuration of a stand-in upstream.
struct UpstreamOptions
{
    int slots = 10; ///< requests that run at once
    int connections = 100; ///< requests held, running or queued; further ones are refused with status 503
    std::vector<UpstreamRoute> routes;
    net::Address nestedProxy; ///< address of the proxy that receives the nested calls
    int maxNestedAttempts = 1; ///< limit on the attempts of each nested call; more than one for the baseline with retries at each hop
    core::Duration coldStartTime {}; ///< time after the start in which the service times fall from three times their value to normal
    core::Duration loadReportInterval {}; ///< interval at which the load report is updated; 0 reports the current load
    bool reportsZeroLoad = false; ///< whether the load report always shows no requests in flight
    std::uint64_t seed = 1;
};

/// Stand-in for the application of a node, with slots, service times, nested calls, cold start, draining, cancellation and load
/// report.
///
/// In addition to its routes it serves `GET /health` (JSON: draining, in_flight, slots) and `POST /admin` (JSON: slow, draining).
class UpstreamServer
{
public:
    /// @param log shared by all upstreams of the process; nullptr records no runs
    UpstreamServer(net::EventLoop &loop, const net::Address &address, UpstreamOptions options, RunLog *log);
    ~UpstreamServer();
    UpstreamServer(const UpstreamServer &) = delete;
    UpstreamServer &operator=(const UpstreamServer &) = delete;

    [[nodiscard]] net::Address address() const;

    /// Sets the address of the proxy that receives the nested calls. Must be called before the first request arrives.
    void setNestedProxy(const net::Address &proxy);

    /// Sets the factor by which all service times are multiplied.
    void setServiceTimeFactor(double factor) noexcept;

    /// Sets whether the health endpoint reports this upstream as draining.
    void setDraining(bool isDraining) noexcept;

    /// Returns the number of requests that run or are queued.
    [[nodiscard]] int inFlight() const noexcept;

private:
    class Job;

    void handle(const std::shared_ptr<net::HttpExchange> &exchange);
    void handleAdmin(const std::shared_ptr<net::HttpExchange> &exchange);
    void respondHealth(const std::shared_ptr<net::HttpExchange> &exchange) const;
    void startQueuedJobs();
    [[nodiscard]] const UpstreamRoute &findRoute(std::string_view path) const;
    [[nodiscard]] core::Duration sampleServiceTime(const UpstreamRoute &route);

    net::EventLoop &loop;
    UpstreamOptions options;
    RunLog *log;
    core::Random random;
    core::TimePoint startedAt;
    double serviceTimeFactor = 1;
    bool isDraining = false;
    int running = 0;
    int lastReportedLoad = 0; ///< requests in flight at the last update of the load report
    net::EventLoop::TimerId loadTimer = net::EventLoop::noTimer;
    std::deque<std::shared_ptr<Job>> queuedJobs;
    net::HttpClient client;
    net::HttpServer server;
};
} // namespace figpulley::standin
