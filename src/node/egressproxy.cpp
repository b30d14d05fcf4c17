#include "node/egressproxy.h"

#include "node/errorresponse.h"
#include "node/headernames.h"
#include "node/responserelay.h"
#include "node/traceparent.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include <fmt/format.h>

namespace figpulley::node
{
namespace
{
using core::CallOutcome;
using core::ErrorKind;
using decide::CallStep;

// Reads the called service from the first label of the Host header: "motivi", "motivi:80" and "motivi.internal" are the same
// service.
std::string readService(const net::Headers &headers)
{
    const auto host = net::findHeader(headers, "Host");
    return std::string(host.substr(0, host.find_first_of(".:")));
}

// Reads the caller's timeout; nothing if the header is missing, malformed or not positive.
std::optional<core::Duration> readTimeout(const net::Headers &headers)
{
    const auto text = net::findHeader(headers, timeoutHeader);
    std::int64_t milliseconds = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc {} || milliseconds <= 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(milliseconds);
}
} // namespace

/// One call with its HTTP exchange and attempts, from its arrival to the end of the response.
class EgressProxy::Call : public std::enable_shared_from_this<EgressProxy::Call>
{
public:
    Call(EgressProxy &proxy, core::CallId id, std::shared_ptr<net::HttpExchange> exchange)
        : proxy(proxy)
        , id(id)
        , exchange(std::move(exchange))
    {
    }

    void start(bool isNested)
    {
        auto &context = this->proxy.context;
        const auto &request = this->exchange->request();
        this->started = core::steadyNow();
        this->trace = parseTraceParent(net::findHeader(request.headers, traceHeader))
                          .value_or(TraceParent {context.random(), context.random(), 0, 1});
        decide::CallRequest call;
        call.service = readService(request.headers);
        call.method = request.method;
        call.path = request.path;
        call.isNested = isNested;
        call.user = std::string(net::findHeader(request.headers, context.board.config.read().current->priorities.userHeader));
        call.timeout = readTimeout(request.headers);
        call.traceLow = this->trace.traceLow;
        if (isNested) {
            call.parent = this->readParentId();
        }
        this->setMetricLabels(call);
        this->exchange->onCancelled([self = this->shared_from_this()] { self->cancel(); });
        this->performStep(this->proxy.controller.begin(context.board, this->id, call, this->started, context.random));
    }

private:
    // Returns the id of the parent call from the Figpulley-Parent header. Without the header, the span of the trace context is the
    // id, provided that the application forwards the trace context unchanged.
    [[nodiscard]] std::optional<core::EntryId> readParentId() const
    {
        std::uint64_t number = 0;
        if (core::fromHex(net::findHeader(this->exchange->request().headers, parentHeader), number)) {
            return core::EntryId {number};
        }
        return this->trace.span != 0 ? std::optional(core::EntryId {this->trace.span}) : std::nullopt;
    }

    void setMetricLabels(const decide::CallRequest &call)
    {
        const auto &board = this->proxy.context.board;
        const auto &priorities = board.config.read().current->priorities;
        // Only names known from the configuration or the membership become metric labels, since clients may send arbitrary names.
        if (!board.endpoints.read().forService(call.service).empty()) {
            this->serviceLabel = call.service;
        }
        if (const auto *route = priorities.match(call.service, call.method, call.path)) {
            this->routeLabel = route->name;
            this->priorityLabel = priorities.levels[route->level];
            this->serviceLabel = call.service;
        }
    }

    void performStep(const CallStep &step)
    {
        if (const auto *send = std::get_if<decide::SendAttempt>(&step)) {
            this->sendAttempt(*send);
        } else if (const auto *wait = std::get_if<decide::WaitBeforeRetry>(&step)) {
            this->retryTimer = this->proxy.context.loop.callAfter(wait->delay, [self = this->shared_from_this()] { self->retry(); });
        } else {
            this->finish(std::get<decide::FinishCall>(step).outcome);
        }
    }

    void retry()
    {
        auto &context = this->proxy.context;
        this->retryTimer = net::EventLoop::noTimer;
        this->performStep(this->proxy.controller.resumeAfterWait(context.board, this->id, core::steadyNow(), context.random));
    }

    void sendAttempt(const decide::SendAttempt &attempt)
    {
        auto &context = this->proxy.context;
        const auto &incoming = this->exchange->request();
        net::ClientRequest request;
        request.method = incoming.method;
        request.url = fmt::format("http://{}{}{}", attempt.address, incoming.path, incoming.query);
        request.body = incoming.body;
        request.timeout = attempt.deadline - core::steadyNow();
        // libcurl must not resend the request on its own, because retries are counted and limited by the controller.
        request.mayResend = false;
        for (const auto &header : incoming.headers) {
            if (isForwardedHeader(header.name) && !net::equalsIgnoreCase(header.name, traceHeader)) {
                request.headers.push_back(header);
            }
        }
        auto span = this->trace;
        span.span = core::value(attempt.envelope.attempt);
        request.headers.push_back({std::string(traceHeader), span.toString()});
        const auto envelope = core::encode(attempt.envelope);
        request.headers.push_back(
            {std::string(proofHeader), context.settings.keys.sign(envelope + "\n" + incoming.method + " " + incoming.path)});
        request.headers.push_back({std::string(callHeader), envelope});
        context.metrics.countAttempt(this->serviceLabel, this->hasAttempted);
        this->hasAttempted = true;

        ResponseRelay::Callbacks callbacks;
        callbacks.onCommit = [self = this->shared_from_this()](const net::ClientResponseHead &) { return self->commitResponse(); };
        callbacks.onDone = [self = this->shared_from_this()](const net::ClientResult &result) { self->handleAttemptEnd(result); };
        this->relay = std::make_shared<ResponseRelay>(context.loop, context.client, this->exchange, std::move(callbacks));
        this->relay->start(request);
    }

    [[nodiscard]] std::optional<CallOutcome> reportedOutcome() const
    {
        return core::decodeOutcome(net::findHeader(this->relay->head().headers, outcomeHeader));
    }

    // Handles a response that exceeds the buffer. Returns whether it is forwarded as the response of this call.
    bool commitResponse()
    {
        auto &context = this->proxy.context;
        const decide::AttemptResult result {ErrorKind::AnswerLost, this->reportedOutcome(), core::steadyNow()};
        const bool isUpstreamResponse = result.outcome && result.outcome->kind == ErrorKind::None;
        if (!isUpstreamResponse) {
            return false;
        }
        const auto step = this->proxy.controller.handleAttemptResult(context.board, this->id, result, context.random);
        const auto *finish = std::get_if<decide::FinishCall>(&step);
        if (finish == nullptr) {
            // The response is a refusal by the upstream, and the call is retried at another endpoint.
            this->stepAfterDiscard = step;
            return false;
        }
        this->isFinished = true;
        this->recordMetrics(ErrorKind::None, this->relay->head().status);
        this->relay->startStreaming(makeResponseHeaders(finish->outcome));
        return true;
    }

    void handleAttemptEnd(const net::ClientResult &result)
    {
        auto &context = this->proxy.context;
        if (this->isFinished) {
            return;
        }
        if (this->stepAfterDiscard) {
            this->performStep(*std::exchange(this->stepAfterDiscard, std::nullopt));
            return;
        }
        decide::AttemptResult attemptResult {result.kind, std::nullopt, core::steadyNow()};
        if (result.kind == ErrorKind::None) {
            attemptResult.outcome = this->reportedOutcome();
            // A response without an attempt report did not come from a node, and counts as a lost response.
            attemptResult.kind = ErrorKind::AnswerLost;
        }
        this->performStep(this->proxy.controller.handleAttemptResult(context.board, this->id, attemptResult, context.random));
    }

    void finish(const CallOutcome &outcome)
    {
        this->isFinished = true;
        if (outcome.kind == ErrorKind::None) {
            this->recordMetrics(ErrorKind::None, this->relay->head().status);
            this->relay->sendBuffered(makeResponseHeaders(outcome));
            return;
        }
        auto response = makeErrorResponse(outcome);
        response.headers.push_back(makeRetriesHeader(outcome));
        this->recordMetrics(outcome.kind, response.status);
        this->exchange->respond(std::move(response));
    }

    [[nodiscard]] static net::Header makeRetriesHeader(const CallOutcome &outcome)
    {
        return {std::string(retriesHeader), fmt::to_string(outcome.retriesSpent)};
    }

    [[nodiscard]] static net::Headers makeResponseHeaders(const CallOutcome &outcome)
    {
        return {{std::string(ranHeader), std::string(core::name(core::Ran::Yes))}, makeRetriesHeader(outcome)};
    }

    void cancel()
    {
        if (this->isFinished) {
            return;
        }
        auto &context = this->proxy.context;
        this->isFinished = true;
        context.loop.cancel(this->retryTimer);
        if (this->relay) {
            this->relay->cancel();
        }
        const auto outcome = this->proxy.controller.cancel(context.board, this->id, ErrorKind::Cancelled, core::steadyNow());
        this->recordMetrics(outcome.kind, core::errorProperties(outcome.kind).httpStatus);
    }

    void recordMetrics(ErrorKind kind, int status)
    {
        this->proxy.context.metrics.countCall(this->serviceLabel, this->routeLabel, this->priorityLabel, kind, status,
                                              core::steadyNow() - this->started);
    }

    EgressProxy &proxy;
    core::CallId id;
    std::shared_ptr<net::HttpExchange> exchange;
    std::shared_ptr<ResponseRelay> relay;
    std::optional<CallStep> stepAfterDiscard;
    TraceParent trace;
    std::string serviceLabel = "unlisted";
    std::string routeLabel = "unlisted";
    std::string priorityLabel = "unlisted";
    core::TimePoint started {};
    net::EventLoop::TimerId retryTimer = net::EventLoop::noTimer;
    bool isFinished = false;
    bool hasAttempted = false;
};

EgressProxy::EgressProxy(NodeContext context)
    : context(context)
{
    const net::HttpServerLimits limits {.bodyBytes = context.settings.maxBodyBytes};
    this->entrance = std::make_unique<net::HttpServer>(
        context.loop, context.settings.entrance,
        [this](std::shared_ptr<net::HttpExchange> exchange) { this->accept(std::move(exchange), false); }, limits);
    this->nested = std::make_unique<net::HttpServer>(
        context.loop, context.settings.nested,
        [this](std::shared_ptr<net::HttpExchange> exchange) { this->accept(std::move(exchange), true); }, limits);
}

EgressProxy::~EgressProxy() = default;

net::Address EgressProxy::entranceAddress() const
{
    return this->entrance->address();
}

net::Address EgressProxy::nestedAddress() const
{
    return this->nested->address();
}

void EgressProxy::stopAccepting()
{
    this->entrance->stopAccepting();
}

void EgressProxy::accept(std::shared_ptr<net::HttpExchange> exchange, bool isNested)
{
    const auto call = std::make_shared<Call>(*this, core::CallId {this->nextCall++}, std::move(exchange));
    call->start(isNested);
}
} // namespace figpulley::node
