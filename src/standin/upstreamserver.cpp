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
constexpr std::size_t largestNestedAnswer = 16UL << 20U;
constexpr double coldFactor = 3;
constexpr core::Duration defaultTimeout = std::chrono::seconds(10);

std::uint64_t numberHeader(const net::Headers &headers, std::string_view name)
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

/// One request, from its arrival to its answer.
class UpstreamServer::Job : public std::enable_shared_from_this<UpstreamServer::Job>
{
public:
    Job(UpstreamServer &server, std::shared_ptr<net::HttpExchange> exchange, const UpstreamRoute &route)
        : server(server)
        , exchange(std::move(exchange))
        , route(route)
        , work(numberHeader(this->exchange->request().headers, "X-Work"))
    {
    }

    void watchCaller()
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
        if (this->server.log != nullptr && this->work != 0) {
            const bool isRoot = net::findHeader(this->exchange->request().headers, "X-Nested").empty();
            this->server.log->noteRun(this->work, isRoot);
        }
        const auto time = this->server.drawServiceTime(this->route);
        this->timer = this->server.loop.callAfter(time, [self = this->shared_from_this()] { self->callNested(); });
    }

    void shed(std::string_view reason)
    {
        this->isOver = true;
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
        request.url = fmt::format("http://{}{}", this->server.options.nestedFace.toString(), call.path);
        request.headers = {{"Host", call.service}, {"X-Nested", "1"}, {"X-Work", fmt::to_string(this->work)}};
        // An application passes the trace context on, and nothing else of ours.
        request.headers.push_back({"traceparent", std::string(net::findHeader(incoming, "traceparent"))});
        const auto left = numberHeader(incoming, "Figpulley-Deadline-Ms");
        request.timeout = left > 0 ? core::Duration(std::chrono::milliseconds(left)) : defaultTimeout;
        request.mayResend = false;
        this->transfer =
            this->server.client.fetch(request, largestNestedAnswer,
                                      [self = this->shared_from_this()](const net::ClientResponse &answer) { self->nestedEnded(answer); });
    }

    void nestedEnded(const net::ClientResponse &answer)
    {
        this->transfer = {};
        const bool isGood = answer.result.kind == core::ErrorKind::None && answer.head.status < 500;
        if (!isGood && ++this->nestedTries < this->server.options.nestedAttempts) {
            this->callNested();
            return;
        }
        if (!isGood) {
            this->release();
            this->shed("a nested call failed\n");
            this->server.startWaiting();
            return;
        }
        this->nestedTries = 0;
        ++this->nextNested;
        this->callNested();
    }

    void finish()
    {
        this->release();
        this->isOver = true;
        auto body = fmt::format("work={};", this->work);
        body.resize(std::max(body.size(), this->route.answerBytes), '.');
        this->exchange->respond({200, {{"Content-Type", "text/plain"}}, std::move(body)});
        this->server.startWaiting();
    }

    void release()
    {
        if (!this->isRunning) {
            return;
        }
        this->isRunning = false;
        --this->server.running;
        if (this->server.log != nullptr && this->work != 0) {
            this->server.log->noteBusy(this->work, core::steadyNow() - this->startedAt);
        }
    }

    void cancel()
    {
        if (this->isOver) {
            return;
        }
        this->isOver = true;
        this->server.loop.cancel(this->timer);
        this->server.client.cancel(this->transfer);
        std::erase(this->server.waiting, this->shared_from_this());
        this->release();
        this->server.startWaiting();
    }

    UpstreamServer &server;
    std::shared_ptr<net::HttpExchange> exchange;
    const UpstreamRoute &route;
    std::uint64_t work;
    std::size_t nextNested = 0;
    int nestedTries = 0;
    net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    net::TransferId transfer {};
    core::TimePoint startedAt {};
    bool isRunning = false;
    bool isOver = false;
};

UpstreamServer::UpstreamServer(net::EventLoop &loop, const net::Address &address, UpstreamOptions options, RunLog *log)
    : loop(loop)
    , options(std::move(options))
    , log(log)
    , random(this->options.seed)
    , started(core::steadyNow())
    , client(loop)
    , server(loop, address, [this](const std::shared_ptr<net::HttpExchange> &exchange) { this->handle(exchange); })
{
    if (this->options.loadLag.count() > 0) {
        this->loadTimer = this->loop.callEvery(this->options.loadLag, [this] { this->laggingLoad = this->inFlight(); });
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

void UpstreamServer::setNestedFace(const net::Address &face)
{
    this->options.nestedFace = face;
}

void UpstreamServer::setSlowness(double factor) noexcept
{
    this->slowness = factor;
}

void UpstreamServer::setDraining(bool draining) noexcept
{
    this->isDraining = draining;
}

int UpstreamServer::inFlight() const noexcept
{
    return this->running + static_cast<int>(this->waiting.size());
}

const UpstreamRoute &UpstreamServer::routeOf(std::string_view path) const
{
    for (const auto &route : this->options.routes) {
        if (path.starts_with(route.pathPrefix)) {
            return route;
        }
    }
    return defaultRoute();
}

core::Duration UpstreamServer::drawServiceTime(const UpstreamRoute &route)
{
    constexpr double smallestShare = 0.8;
    constexpr double spread = 0.4;
    auto factor = this->slowness * (smallestShare + spread * core::uniform(this->random));
    if (this->options.coldStart.count() > 0) {
        const auto age = core::toSeconds(core::steadyNow() - this->started) / core::toSeconds(this->options.coldStart);
        factor *= std::max(1.0, coldFactor - (coldFactor - 1) * age);
    }
    return core::Duration(static_cast<std::int64_t>(static_cast<double>(route.serviceTime.count()) * factor));
}

void UpstreamServer::handle(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    if (request.path == "/health") {
        this->answerHealth(exchange);
        return;
    }
    if (request.path == "/admin") {
        this->handleAdmin(exchange);
        return;
    }
    const auto work = numberHeader(request.headers, "X-Work");
    if (this->log != nullptr && work != 0) {
        this->log->noteReceived(work);
    }
    const auto job = std::make_shared<Job>(*this, exchange, this->routeOf(request.path));
    if (this->inFlight() >= this->options.connections) {
        job->shed("too many requests\n");
        return;
    }
    job->watchCaller();
    if (this->running < this->options.slots) {
        job->start();
    } else {
        this->waiting.push_back(job);
    }
}

void UpstreamServer::startWaiting()
{
    while (!this->waiting.empty() && this->running < this->options.slots) {
        const auto job = this->waiting.front();
        this->waiting.pop_front();
        job->start();
    }
}

void UpstreamServer::answerHealth(const std::shared_ptr<net::HttpExchange> &exchange) const
{
    const auto load = this->options.loadLag.count() > 0 ? this->laggingLoad : this->inFlight();
    const nlohmann::json health {
        {"draining", this->isDraining}, {"in_flight", this->options.isLoadMisleading ? 0 : load}, {"slots", this->options.slots}};
    exchange->respond({200, {{"Content-Type", "application/json"}}, health.dump()});
}

void UpstreamServer::handleAdmin(const std::shared_ptr<net::HttpExchange> &exchange)
{
    try {
        const auto wanted = nlohmann::json::parse(exchange->request().body);
        this->slowness = wanted.value("slow", this->slowness);
        this->isDraining = wanted.value("draining", this->isDraining);
        exchange->respond({200, {}, "set\n"});
    } catch (const nlohmann::json::exception &error) {
        exchange->respond({httpBadRequest, {}, std::string(error.what()) + "\n"});
    }
}
} // namespace figpulley::standin
