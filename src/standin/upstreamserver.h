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
/// A call that a stand-in upstream makes while it works on a request.
struct NestedCall
{
    std::string service;
    std::string method = "GET";
    std::string path = "/";
};

/// What a stand-in upstream does with requests of one path.
struct UpstreamRoute
{
    std::string pathPrefix = "/";
    core::Duration serviceTime {}; ///< mean; spread evenly by a fifth to both sides
    std::size_t answerBytes = 0; ///< length of the answer's body, at least that of the work's number
    std::vector<NestedCall> nested; ///< made one after the other, holding the slot
};

/// How a stand-in upstream behaves.
struct UpstreamOptions
{
    int slots = 10; ///< requests worked on at once
    int connections = 100; ///< requests held, working or waiting; more are shed with 503
    std::vector<UpstreamRoute> routes;
    net::Address nestedFace; ///< where nested calls are sent
    int nestedAttempts = 1; ///< of each nested call, for the baseline with retries at each hop
    core::Duration coldStart {}; ///< time in which service times fall from three times their value
    core::Duration loadLag {}; ///< age that the load report may reach; 0 reports the present load
    bool isLoadMisleading = false; ///< the load report always says idle
    std::uint64_t seed = 1;
};

/// Stand-in for an application behind a node: slots, service times, nested calls, cold start, drain, cancellation, load report.
///
/// Besides the routes it serves `GET /health` (JSON: draining, in_flight, slots) and `POST /admin` (JSON: slow, draining).
class UpstreamServer
{
public:
    /// @param log shared by all upstreams of the process; may be null
    UpstreamServer(net::EventLoop &loop, const net::Address &address, UpstreamOptions options, RunLog *log);
    ~UpstreamServer();
    UpstreamServer(const UpstreamServer &) = delete;
    UpstreamServer &operator=(const UpstreamServer &) = delete;

    [[nodiscard]] net::Address address() const;

    /// Sets where nested calls go; before the first request.
    void setNestedFace(const net::Address &face);

    /// Multiplies all service times.
    void setSlowness(double factor) noexcept;

    /// Reports that this upstream is leaving.
    void setDraining(bool isDraining) noexcept;

    [[nodiscard]] int inFlight() const noexcept;

private:
    class Job;

    void handle(const std::shared_ptr<net::HttpExchange> &exchange);
    void handleAdmin(const std::shared_ptr<net::HttpExchange> &exchange);
    void answerHealth(const std::shared_ptr<net::HttpExchange> &exchange) const;
    void startWaiting();
    [[nodiscard]] const UpstreamRoute &routeOf(std::string_view path) const;
    [[nodiscard]] core::Duration drawServiceTime(const UpstreamRoute &route);

    net::EventLoop &loop;
    UpstreamOptions options;
    RunLog *log;
    core::Random random;
    core::TimePoint started;
    double slowness = 1;
    bool isDraining = false;
    int running = 0;
    int laggingLoad = 0; ///< requests held when the load report was last renewed
    net::EventLoop::TimerId loadTimer = net::EventLoop::noTimer;
    std::deque<std::shared_ptr<Job>> waiting;
    net::HttpClient client;
    net::HttpServer server;
};
} // namespace figpulley::standin
