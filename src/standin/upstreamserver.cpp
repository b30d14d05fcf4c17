#include "standin/upstreamserver.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::standin
{
namespace
{
constexpr int httpUnavailable = 503;
constexpr int httpBadRequest = 400;
constexpr std::size_t maxNestedResponseBytes = 16UL << 20U;
constexpr double coldStartFactor = 3;
constexpr core::Duration defaultNestedTimeout = std::chrono::seconds(10);

std::uint64_t parseNumberHeader(const net::Headers &headers, std::string_view name)
{
    const auto text = net::findHeader(headers, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

const UpstreamRoute &defaultRoute()
{
    static const UpstreamRoute route;
    return route;
}
} // namespace

/// One request, from its arrival to its response.
class UpstreamServer::Job : public std::enable_shared_from_this<UpstreamServer::Job>
{
public:
    Job(UpstreamServer &server, std::shared_ptr<net::HttpExchange> exchange, const UpstreamRoute &route)
        : server(server)
        , exchange(std::move(exchange))
        , route(route)
        , workId(parseNumberHeader(this->exchange->request().headers, "X-Work"))
    {
    }

    void cancelOnDisconnect()
    {
        this->exchange->onCancelled([weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->cancel();
            }
        });
    }

    void start()
    {
        ++this->server.running;
        this->isRunning = true;
        this->startedAt = core::steadyNow();
        if (this->server.log != nullptr && this->workId != 0) {
            const bool isRoot = net::findHeader(this->exchange->request().headers, "X-Nested").empty();
            this->server.log->recordRun(this->workId, isRoot);
        }
        const auto serviceTime = this->server.sampleServiceTime(this->route);
        this->timer = this->server.loop.callAfter(serviceTime, [self = this->shared_from_this()] { self->callNested(); });
    }

    void refuse(std::string_view reason)
    {
        this->isFinished = true;
        this->exchange->respond({httpUnavailable, {{"Content-Type", "text/plain"}}, std::string(reason)});
    }

private:
    void callNested()
    {
        this->timer = net::EventLoop::noTimer;
        if (this->nextNested == this->route.nested.size()) {
            this->finish();
            return;
        }
        const auto &call = this->route.nested[this->nextNested];
        const auto &incoming = this->exchange->request().headers;
        net::ClientRequest request;
        request.method = call.method;
        request.url = fmt::format("http://{}{}", this->server.options.nestedProxy.toString(), call.path);
        request.headers = {{"Host", call.service}, {"X-Nested", "1"}, {"X-Work", fmt::to_string(this->workId)}};
        // Like a real application, the stand-in forwards the trace context and no other header of figpulley.
        request.headers.push_back({"traceparent", std::string(net::findHeader(incoming, "traceparent"))});
        const auto remainingMs = parseNumberHeader(incoming, "Figpulley-Deadline-Ms");
        request.timeout = remainingMs > 0 ? core::Duration(std::chrono::milliseconds(remainingMs)) : defaultNestedTimeout;
        request.mayResend = false;
        this->transfer = this->server.client.fetch(
            request, maxNestedResponseBytes,
            [self = this->shared_from_this()](const net::ClientResponse &response) { self->handleNestedResponse(response); });
    }

    void handleNestedResponse(const net::ClientResponse &response)
    {
        this->transfer = {};
        const bool isGood = response.result.kind == core::ErrorKind::None && response.head.status < 500;
        if (!isGood && ++this->nestedAttemptsMade < this->server.options.maxNestedAttempts) {
            this->callNested();
            return;
        }
        if (!isGood) {
            this->releaseSlot();
            this->refuse("a nested call failed\n");
            this->server.startQueuedJobs();
            return;
        }
        this->nestedAttemptsMade = 0;
        ++this->nextNested;
        this->callNested();
    }

    void finish()
    {
        this->releaseSlot();
        this->isFinished = true;
        auto body = fmt::format("work={};", this->workId);
        body.resize(std::max(body.size(), this->route.responseBytes), '.');
        this->exchange->respond({200, {{"Content-Type", "text/plain"}}, std::move(body)});
        this->server.startQueuedJobs();
    }

    void releaseSlot()
    {
        if (!this->isRunning) {
            return;
        }
        this->isRunning = false;
        --this->server.running;
        if (this->server.log != nullptr && this->workId != 0) {
            this->server.log->recordSlotTime(this->workId, core::steadyNow() - this->startedAt);
        }
    }

    void cancel()
    {
        if (this->isFinished) {
            return;
        }
        this->isFinished = true;
        this->server.loop.cancel(this->timer);
        this->server.client.cancel(this->transfer);
        std::erase(this->server.queuedJobs, this->shared_from_this());
        this->releaseSlot();
        this->server.startQueuedJobs();
    }

    UpstreamServer &server;
    std::shared_ptr<net::HttpExchange> exchange;
    const UpstreamRoute &route;
    std::uint64_t workId;
    std::size_t nextNested = 0;
    int nestedAttemptsMade = 0;
    net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    net::TransferId transfer {};
    core::TimePoint startedAt {};
    bool isRunning = false;
    bool isFinished = false;
};

UpstreamServer::UpstreamServer(net::EventLoop &loop, const net::Address &address, UpstreamOptions options, RunLog *log)
    : loop(loop)
    , options(std::move(options))
    , log(log)
    , random(this->options.seed)
    , startedAt(core::steadyNow())
    , client(loop)
    , server(loop, address, [this](const std::shared_ptr<net::HttpExchange> &exchange) { this->handle(exchange); })
{
    if (this->options.loadReportInterval.count() > 0) {
        this->loadTimer = this->loop.callEvery(this->options.loadReportInterval, [this] { this->lastReportedLoad = this->inFlight(); });
    }
}

UpstreamServer::~UpstreamServer()
{
    this->loop.cancel(this->loadTimer);
}

net::Address UpstreamServer::address() const
{
    return this->server.address();
}

void UpstreamServer::setNestedProxy(const net::Address &proxy)
{
    this->options.nestedProxy = proxy;
}

void UpstreamServer::setServiceTimeFactor(double factor) noexcept
{
    this->serviceTimeFactor = factor;
}

void UpstreamServer::setDraining(bool draining) noexcept
{
    this->isDraining = draining;
}

int UpstreamServer::inFlight() const noexcept
{
    return this->running + static_cast<int>(this->queuedJobs.size());
}

const UpstreamRoute &UpstreamServer::findRoute(std::string_view path) const
{
    for (const auto &route : this->options.routes) {
        if (path.starts_with(route.pathPrefix)) {
            return route;
        }
    }
    return defaultRoute();
}

core::Duration UpstreamServer::sampleServiceTime(const UpstreamRoute &route)
{
    constexpr double minFactor = 0.8;
    constexpr double factorRange = 0.4;
    auto factor = this->serviceTimeFactor * (minFactor + factorRange * core::uniform(this->random));
    if (this->options.coldStartTime.count() > 0) {
        const auto elapsedRatio = core::toSeconds(core::steadyNow() - this->startedAt) / core::toSeconds(this->options.coldStartTime);
        factor *= std::max(1.0, coldStartFactor - (coldStartFactor - 1) * elapsedRatio);
    }
    return core::Duration(static_cast<std::int64_t>(static_cast<double>(route.serviceTime.count()) * factor));
}

void UpstreamServer::handle(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    if (request.path == "/health") {
        this->respondHealth(exchange);
        return;
    }
    if (request.path == "/admin") {
        this->handleAdmin(exchange);
        return;
    }
    const auto workId = parseNumberHeader(request.headers, "X-Work");
    if (this->log != nullptr && workId != 0) {
        this->log->recordReceived(workId);
    }
    const auto job = std::make_shared<Job>(*this, exchange, this->findRoute(request.path));
    if (this->inFlight() >= this->options.connections) {
        job->refuse("too many requests\n");
        return;
    }
    job->cancelOnDisconnect();
    if (this->running < this->options.slots) {
        job->start();
    } else {
        this->queuedJobs.push_back(job);
    }
}

void UpstreamServer::startQueuedJobs()
{
    while (!this->queuedJobs.empty() && this->running < this->options.slots) {
        const auto job = this->queuedJobs.front();
        this->queuedJobs.pop_front();
        job->start();
    }
}

void UpstreamServer::respondHealth(const std::shared_ptr<net::HttpExchange> &exchange) const
{
    const auto load = this->options.loadReportInterval.count() > 0 ? this->lastReportedLoad : this->inFlight();
    const nlohmann::json health {
        {"draining", this->isDraining}, {"in_flight", this->options.reportsZeroLoad ? 0 : load}, {"slots", this->options.slots}};
    exchange->respond({200, {{"Content-Type", "application/json"}}, health.dump()});
}

void UpstreamServer::handleAdmin(const std::shared_ptr<net::HttpExchange> &exchange)
{
    try {
        const auto requested = nlohmann::json::parse(exchange->request().body);
        this->serviceTimeFactor = requested.value("slow", this->serviceTimeFactor);
        this->isDraining = requested.value("draining", this->isDraining);
        exchange->respond({200, {}, "set\n"});
    } catch (const nlohmann::json::exception &error) {
        exchange->respond({httpBadRequest, {}, std::string(error.what()) + "\n"});
    }
}
} // namespace figpulley::standin
