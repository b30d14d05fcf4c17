#include "mesh/outboundproxy.h"

#include "core/log.h"
#include "mesh/conditionheader.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"
#include "mesh/wireformat.h"
#include "node/errorresponse.h"
#include "node/headernames.h"
#include "node/responserelay.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;
using core::Ran;
using routing::AttemptOutcome;
using routing::AttemptPlan;

constexpr core::Duration defaultClientTimeout = 10s; // for a client that does not send its timeout
constexpr core::Duration peerConnectTimeout = 300ms; // a hundred times the latency between zones
// A peer that acknowledges nothing is partitioned or has lost power. A single lost packet delays an acknowledgement by 200 ms.
constexpr core::Duration peerInactivityTimeout = 500ms;
// Timeout for requests that must not be sent again. Giving up on them sooner has no benefit.
constexpr core::Duration unsafePeerInactivityTimeout = 2s;
// The endpoint's node expires an attempt this much earlier, so that it can still report that a queued request has not run.
constexpr core::Duration hopMargin = 20ms;
constexpr core::Duration minAttemptTime = 2 * hopMargin;
constexpr core::Duration stopRefusalDelay = 3s; // two readiness checks 1 s apart have failed by then
constexpr core::Duration streamTimeoutMargin = 300ms; // time after its deadline in which a streamed response may still end
constexpr core::Duration noEndpointRetryAfter = 300ms;
constexpr std::size_t maxRemovedRoutes = 500; // for which state is kept; some 2 KB each with their metrics
constexpr int httpInternalError = 500;

AttemptOutcome attemptOutcomeFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::None:
        return AttemptOutcome::Served;
    case ErrorKind::Overloaded:
    case ErrorKind::QueueTimeout:
    case ErrorKind::DeadlineExpired:
        return AttemptOutcome::Full;
    case ErrorKind::NotServing:
    case ErrorKind::Stopping:
        return AttemptOutcome::Leaving;
    case ErrorKind::ConnectFailed:
        return AttemptOutcome::Unreachable;
    case ErrorKind::Cancelled:
    case ErrorKind::RetryBudgetSpent: // it says nothing about the endpoint
        return AttemptOutcome::Cancelled;
    default:
        return AttemptOutcome::Failed;
    }
}
// Time within which a request of a route usually has its response. A route without a latency objective has its timeout in its place.
core::Duration expectedDuration(const routing::Route &route)
{
    return std::min(route.objective, route.timeout / 2);
}
} // namespace

/// One request of a client or of the endpoint on this VM, and its attempts.
class OutboundProxy::Call : public std::enable_shared_from_this<OutboundProxy::Call>
{
public:
    Call(OutboundProxy &proxy, std::shared_ptr<net::HttpExchange> exchange)
        : proxy(proxy)
        , exchange(std::move(exchange))
        , arrived(core::steadyNow())
    {
        this->proxy.calls.insert(this);
    }

    ~Call()
    {
        this->proxy.calls.erase(this);
    }

    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    void start()
    {
        auto &context = this->proxy.context;
        const auto &request = this->exchange->request();
        const auto head = context.wire.readClientHead(request.headers);
        this->requestId = head.requestId;
        const auto &lifecycle = context.board.lifecycle.read();
        if (lifecycle.isStopping && this->arrived - lifecycle.stopRequestedAt > stopRefusalDelay) {
            this->refuse(ErrorKind::Stopping, noEndpointRetryAfter);
            return;
        }
        const auto &routeTable = context.board.config.read().table;
        if (!routeTable) {
            this->refuse(ErrorKind::ConfigurationMissing, noEndpointRetryAfter);
            return;
        }
        this->configVersion = routeTable->version();
        this->route = routeTable->match(net::findHeader(request.headers, "Host"), request.path);
        if (this->route == nullptr) {
            this->refuse(ErrorKind::NoRoute, {});
            return;
        }
        this->plan = AttemptPlan(this->route->isIdempotent(), this->route->maxAttempts);
        this->service = this->proxy.splits.pick(*this->route, context.random);
        if (lifecycle.isStopping && lifecycle.responsesDueAt - this->arrived < expectedDuration(*this->route)) {
            this->refuse(ErrorKind::Stopping, noEndpointRetryAfter);
            return;
        }
        const auto parent = context.wire.parentRequestId(this->requestId);
        this->chain = this->proxy.chains.contextOf(parent, this->requestId, this->route->priority);
        const bool isAcquired = this->proxy.chains.beginNestedCall(parent, this->service);
        if (!this->chain.isRetry) {
            this->proxy.retryBudget.countRequest(this->service, this->arrived);
        } else if (!isAcquired && !this->acquireRetry(this->arrived)) {
            this->refuse(ErrorKind::RetryBudgetSpent, noEndpointRetryAfter);
            return;
        }
        this->deadline = this->arrived + std::min(head.clientTimeout.value_or(defaultClientTimeout), this->route->timeout);
        if (lifecycle.isStopping) {
            // The endpoint's node refuses an attempt as not run if it cannot be served before this process exits.
            this->deadline = std::min(this->deadline, lifecycle.responsesDueAt);
        }
        const bool hasClientTimeout = !this->chain.isNested && head.clientTimeout.has_value();
        this->spentBefore = hasClientTimeout
            ? this->proxy.timeoutHistory.estimateTimeSpent(this->route->name, *head.clientTimeout, this->arrived)
            : core::Duration {};
        this->target = this->arrived - this->spentBefore + this->route->objective;
        this->exchange->onCancelled([weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->handleDisconnect();
            }
        });
        this->timer = context.loop.callAfter(this->deadline - this->arrived, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->timer = net::EventLoop::noTimer;
                self->expire();
            }
        });
        this->startAttempt();
    }

    /// Ends the request now, at its deadline or because the process exits.
    void expire()
    {
        const auto keepAlive = this->shared_from_this();
        if (this->relay && this->relay->isStreaming()) {
            this->relay->cancel();
            return;
        }
        // A request that was sent may have run.
        this->mayHaveRun = this->mayHaveRun || this->isSent;
        this->cancelAttempt();
        this->giveUp(ErrorKind::QueueTimeout, noEndpointRetryAfter);
    }

private:
    void startAttempt()
    {
        auto &context = this->proxy.context;
        const auto now = core::steadyNow();
        if (this->deadline - now < minAttemptTime) {
            this->giveUp(ErrorKind::QueueTimeout, noEndpointRetryAfter);
            return;
        }
        const auto &directory = context.board.directory.read();
        const routing::PickRequest pickRequest {this->service, context.settings.availabilityZone, &this->triedNodes, now};
        const auto *endpoint = this->proxy.picker.pick(directory, pickRequest, context.random);
        if (endpoint == nullptr && this->lastRefusal == ErrorKind::UpstreamRefused) {
            // No endpoint is left, but endpoints refuse requests at random, so one that refused this request may accept it now.
            this->triedNodes.clear();
            endpoint = this->proxy.picker.pick(directory, pickRequest, context.random);
        }
        if (endpoint == nullptr) {
            this->giveUp(this->triedNodes.empty() ? ErrorKind::NoEndpoint : this->lastRefusal, this->lastRetryAfter);
            return;
        }
        this->node = endpoint->record.node;
        this->triedNodes.push_back(this->node);
        ++this->attempts;
        AttemptHead head;
        head.endpointId = endpoint->record.id;
        head.service = this->service;
        head.originService = context.settings.service;
        head.originNode = context.settings.ingress.toString();
        head.rank = this->chain.rank;
        head.isRepeat = this->chain.isRetry || this->plan.mayHaveRun();
        head.isIdempotent = this->route->isIdempotent();
        head.isNested = this->chain.isNested;
        head.remaining = this->deadline - now - hopMargin;
        // A running request fails if any of its nested calls fails, so a nested call may use all the time up to its deadline.
        head.objectiveLeft = this->chain.isNested ? head.remaining : this->target - now;
        head.configVersion = this->configVersion;
        this->sendAttempt(head, *endpoint);
    }

    void sendAttempt(const AttemptHead &head, const discovery::KnownEndpoint &endpoint)
    {
        auto &context = this->proxy.context;
        const auto &incoming = this->exchange->request();
        net::ClientRequest request;
        request.method = incoming.method;
        request.url = fmt::format("http://{}{}{}", this->node, incoming.path, incoming.query);
        if (!incoming.body.empty()) {
            request.sharedBody = std::shared_ptr<const std::string>(this->exchange, &incoming.body);
        }
        request.timeout = head.remaining + streamTimeoutMargin; // the timer of the call expires earlier, unless the response is streamed
        request.connectTimeout = std::min(peerConnectTimeout, head.remaining);
        request.mayResend = false;
        request.maxResponseBytes = context.settings.maxResponseBytes;
        // The peer of a reused connection may have disappeared without a reset, and it would be unknown whether the request ran.
        request.needsNewConnection = !head.isIdempotent;
        request.ackTimeout = head.isIdempotent ? peerInactivityTimeout : unsafePeerInactivityTimeout;
        for (const auto &header : incoming.headers) {
            if (node::isForwardedHeader(header.name)) {
                request.headers.push_back(header);
            }
        }
        request.headers.push_back({std::string(node::callHeader), encode(head)});
        // The node of the endpoint may have restarted and not know the limit yet.
        if (const auto *condition = this->proxy.picker.knownCondition(endpoint); condition != nullptr && condition->rateLimit) {
            request.headers.push_back({std::string(node::conditionHeader), encode(*condition)});
        }
        node::ResponseRelay::Callbacks callbacks;
        callbacks.onCommit = [self = this->shared_from_this()](const net::ClientResponseHead &) { return self->acceptStream(); };
        callbacks.onDone = [self = this->shared_from_this()](const net::ClientResult &result) { self->handleResult(result); };
        this->relay = std::make_shared<node::ResponseRelay>(context.loop, context.relay, this->exchange, std::move(callbacks));
        this->proxy.picker.recordSent(this->node);
        this->isSent = true;
        context.metrics.countAttempt(this->service, this->attempts > 1);
        this->relay->start(request);
    }

    bool acceptStream()
    {
        const auto report = this->readReport();
        this->recordCondition(report ? report->kind : ErrorKind::None);
        this->relay->startStreaming(this->connectionHeaders());
        this->recordOutcome(report ? report->kind : ErrorKind::None, this->relay->head().status);
        return true;
    }

    [[nodiscard]] std::optional<AttemptReport> readReport() const
    {
        return decodeAttemptReport(net::findHeader(this->relay->head().headers, node::outcomeHeader));
    }

    // Records what the node reports about its endpoint. Only a response of the endpoint itself shows that a limit has ended.
    void recordCondition(ErrorKind kind)
    {
        auto &context = this->proxy.context;
        const auto now = core::steadyNow();
        const auto condition = decodeEndpointCondition(net::findHeader(this->relay->head().headers, node::conditionHeader));
        const bool isFromEndpoint = kind == ErrorKind::None || kind == ErrorKind::UpstreamRefused;
        if ((!condition && !isFromEndpoint) || !this->proxy.picker.recordCondition(this->node, condition, now)) {
            return;
        }
        if (const auto omittedLines = context.sampler.tryAcquire("endpoint.condition", now)) {
            core::log(core::LogLevel::Info, "endpoint.condition",
                      {{"node", this->node},
                       {"endpoint", condition ? condition->endpointId : std::string()},
                       {"limit", formatRate(condition ? condition->rateLimit : std::nullopt)},
                       {"leaving", condition && condition->isLeaving ? "true" : "false"},
                       {"id", this->requestId},
                       {"left_out", fmt::to_string(*omittedLines)}});
        }
    }

    [[nodiscard]] net::Headers connectionHeaders() const
    {
        if (this->proxy.context.board.lifecycle.read().isStopping) {
            return {{"Connection", "close"}};
        }
        return {};
    }

    void handleResult(const net::ClientResult &result)
    {
        this->isSent = false;
        const auto now = core::steadyNow();
        const auto report = result.kind == ErrorKind::None ? this->readReport() : std::nullopt;
        // A response without a report comes neither from the endpoint nor from a node that knows this protocol.
        const auto kind = report ? report->kind : (result.kind == ErrorKind::None ? ErrorKind::AnswerLost : result.kind);
        const bool isEndpointFault = kind == ErrorKind::None && this->relay->head().status >= httpInternalError;
        const auto load = report ? std::optional(report->load) : std::nullopt;
        const auto outcome = result.isPeerUnreachable ? AttemptOutcome::Unreachable
            : isEndpointFault                         ? AttemptOutcome::Failed
                                                      : attemptOutcomeFor(kind);
        this->proxy.picker.recordOutcome(this->node, outcome, load, now);
        if (report) {
            this->recordCondition(report->kind);
            this->proxy.snapshots.fetchIfNewer(this->node, report->configVersion);
        }
        if (this->relay->isStreaming()) {
            return;
        }
        if (kind == ErrorKind::None) {
            const auto status = this->relay->head().status;
            this->relay->sendBuffered(this->connectionHeaders());
            this->recordOutcome(ErrorKind::None, status);
            return;
        }
        const auto ran = report ? report->ran : core::errorProperties(kind).ran;
        this->retryOrGiveUp(kind, ran, report ? report->retryAfter : noEndpointRetryAfter, result.detail);
    }

    void retryOrGiveUp(ErrorKind kind, Ran ran, core::Duration retryAfter, const std::string &detail)
    {
        const auto now = core::steadyNow();
        core::log(
            core::LogLevel::Debug, "call.attempt_ended",
            {{"id", this->requestId}, {"node", this->node}, {"kind", std::string(core::errorProperties(kind).name)}, {"detail", detail}});
        this->lastRefusal = kind;
        this->lastRetryAfter = retryAfter;
        this->mayHaveRun = this->mayHaveRun || ran != Ran::No;
        // An attempt that reached an endpoint makes the next one count against the retry budget that all nodes share, also if the endpoint
        // refused it.
        const auto next = ran != Ran::No         ? this->plan.recordPossibleRun()
            : kind == ErrorKind::UpstreamRefused ? this->plan.recordEndpointRefusal()
                                                 : this->plan.recordNodeRefusal();
        // A request that timed out in the queue of one node would also wait at the next one, so its client gets the refusal without delay.
        const bool hasTime = kind != ErrorKind::QueueTimeout && this->deadline - now > minAttemptTime;
        const bool isWithinBudget = next != AttemptPlan::Next::FromBudget || this->acquireRetry(now);
        if (next == AttemptPlan::Next::GiveUp || !hasTime || !isWithinBudget) {
            this->giveUp(kind, retryAfter);
            return;
        }
        this->startAttempt();
    }

    [[nodiscard]] bool acquireRetry(core::TimePoint now)
    {
        return this->proxy.retryBudget.tryAcquire(this->service, {this->chain.rank, this->chain.completedCalls},
                                                  this->proxy.context.board.directory.read().size(), now);
    }

    void handleDisconnect()
    {
        const auto keepAlive = this->shared_from_this();
        this->cancelAttempt();
        this->recordOutcome(ErrorKind::Cancelled, 0);
    }

    void cancelAttempt()
    {
        if (this->isSent) {
            this->isSent = false;
            this->proxy.picker.recordOutcome(this->node, AttemptOutcome::Cancelled, std::nullopt, core::steadyNow());
            this->relay->cancel();
        }
    }

    // Refuses the request. The error must not state that the request has not run if an earlier attempt may have run.
    void giveUp(ErrorKind kind, core::Duration retryAfter)
    {
        if (this->mayHaveRun && core::errorProperties(kind).ran == Ran::No) {
            kind = ErrorKind::DeadlineUnknown;
        }
        this->refuse(kind, retryAfter);
    }

    void refuse(ErrorKind kind, core::Duration retryAfter)
    {
        core::CallOutcome outcome;
        outcome.kind = kind;
        outcome.ran = this->mayHaveRun ? Ran::Unknown : core::errorProperties(kind).ran;
        auto response = node::makeErrorResponse(outcome, std::max(retryAfter, core::Duration(1ms)));
        for (auto &header : this->connectionHeaders()) {
            response.headers.push_back(std::move(header));
        }
        const auto status = response.status;
        this->exchange->respond(std::move(response));
        this->logRefusal(kind, outcome.ran, status, retryAfter);
        this->recordOutcome(kind, status);
    }

    void logRefusal(ErrorKind kind, Ran ran, int status, core::Duration retryAfter) const
    {
        const auto kindName = core::errorProperties(kind).name;
        const bool isSampled = this->route == nullptr || this->route->isIdempotent();
        const auto omittedLines =
            isSampled ? this->proxy.context.sampler.tryAcquire(kindName, core::steadyNow()) : std::optional<std::uint64_t>(0);
        if (!omittedLines) {
            return;
        }
        core::log(core::LogLevel::Info, "call.refused",
                  {{"id", this->requestId},
                   {"route", this->route != nullptr ? this->route->name : std::string()},
                   {"service", this->service},
                   {"kind", std::string(kindName)},
                   {"ran", std::string(core::name(ran))},
                   {"status", fmt::to_string(status)},
                   {"attempts", fmt::to_string(this->attempts)},
                   {"last_node", this->node},
                   {"spent_before_ms", fmt::to_string(core::toMilliseconds(this->spentBefore))},
                   {"after_ms", fmt::to_string(core::toMilliseconds(core::steadyNow() - this->arrived))},
                   {"retry_after_ms", fmt::to_string(core::toMilliseconds(retryAfter))},
                   {"config_version", fmt::to_string(this->configVersion)},
                   {"left_out", fmt::to_string(*omittedLines)}});
    }

    void recordOutcome(ErrorKind kind, int status)
    {
        this->proxy.context.loop.cancel(this->timer);
        this->timer = net::EventLoop::noTimer;
        const bool isCompleted = kind == ErrorKind::None && status < httpInternalError;
        this->proxy.chains.addNestedCall(this->proxy.context.wire.parentRequestId(this->requestId), core::steadyNow() - this->arrived,
                                         isCompleted);
        const auto routeName = this->route != nullptr ? this->route->name : std::string();
        const auto priority = this->route != nullptr ? fmt::to_string(this->route->priority) : std::string();
        this->proxy.context.metrics.countCall(this->service, routeName, priority, kind, status, core::steadyNow() - this->arrived);
    }

    OutboundProxy &proxy;
    std::shared_ptr<net::HttpExchange> exchange;
    std::shared_ptr<node::ResponseRelay> relay;
    routing::ChainContext chain;
    AttemptPlan plan;
    routing::RoutePtr route; // null if none matches
    std::uint64_t configVersion = 0; // version of the configuration that the route is of
    std::string requestId;
    std::string service;
    std::string node; // node of the latest attempt
    std::vector<std::string> triedNodes;
    core::TimePoint arrived;
    core::TimePoint deadline {};
    core::TimePoint target {};
    core::Duration spentBefore {}; // time that the client has spent on earlier attempts
    core::Duration lastRetryAfter = noEndpointRetryAfter;
    ErrorKind lastRefusal = ErrorKind::NoEndpoint;
    net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    int attempts = 0;
    bool mayHaveRun = false;
    bool isSent = false;
};

OutboundProxy::OutboundProxy(MeshContext context, SnapshotExchange &snapshots, routing::ChainTable &chains,
                             routing::RetryBudget &retryBudget)
    : context(context)
    , snapshots(snapshots)
    , chains(chains)
    , retryBudget(retryBudget)
{
    this->server =
        std::make_unique<net::RelayServer>(context.loop, context.settings.entrance,
                                           [this](std::shared_ptr<net::HttpExchange> exchange) { this->accept(std::move(exchange)); });
}

OutboundProxy::~OutboundProxy() = default;

void OutboundProxy::setClientLimits(const routing::ClientLimits &limits)
{
    net::RelayServerLimits changed;
    changed.headerBytes = limits.headerBytes;
    changed.bodyBytes = limits.bodyBytes;
    changed.headerTimeout = limits.headerTimeout;
    changed.idleTimeout = limits.idleTimeout;
    if (limits.bodyBytes > changed.maxBufferedBodyBytes) {
        core::log(core::LogLevel::Warning, "config.body_limit_not_reached",
                  {{"body_bytes", fmt::to_string(limits.bodyBytes)}, {"taken_bytes", fmt::to_string(changed.maxBufferedBodyBytes)}});
    }
    this->server->setLimits(changed);
}

void OutboundProxy::applyConfiguration(const routing::RouteTable &routes)
{
    this->setClientLimits(routes.limits());
    this->forgetRemovedRoutes(routes);
}

// Successive configurations add routes under new names. Some removed ones are kept, as it takes time to compare all names.
void OutboundProxy::forgetRemovedRoutes(const routing::RouteTable &routes)
{
    const auto known = std::max({this->splits.size(), this->timeoutHistory.size(), this->context.metrics.countedRoutes()});
    if (known <= routes.size() + maxRemovedRoutes) {
        return;
    }
    const auto names = routes.names();
    this->splits.retain(names);
    this->timeoutHistory.retain(names);
    this->context.metrics.retainRoutes(names);
}

std::size_t OutboundProxy::inFlight() const noexcept
{
    return this->calls.size();
}

std::size_t OutboundProxy::unsentResponses() const noexcept
{
    return this->server->unsentResponses();
}

void OutboundProxy::endOpenCalls()
{
    std::vector<std::shared_ptr<Call>> open;
    for (auto *call : this->calls) {
        if (auto sharedCall = call->weak_from_this().lock()) {
            open.push_back(std::move(sharedCall));
        }
    }
    for (const auto &call : open) {
        call->expire();
    }
}

core::TimePoint OutboundProxy::lastArrival() const noexcept
{
    return this->lastArrivalAt;
}

void OutboundProxy::accept(std::shared_ptr<net::HttpExchange> exchange)
{
    this->lastArrivalAt = core::steadyNow();
    std::make_shared<Call>(*this, std::move(exchange))->start();
}
} // namespace figpulley::mesh
