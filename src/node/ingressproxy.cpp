#include "node/ingressproxy.h"

#include "node/errorresponse.h"
#include "node/headernames.h"
#include "node/responserelay.h"
#include "node/traceparent.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

namespace figpulley::node
{
namespace
{
using core::CallOutcome;
using core::ErrorKind;
using decide::Admission;

net::Headers makeOutcomeHeaders(const CallOutcome &outcome)
{
    return {{std::string(outcomeHeader), core::encode(outcome)}};
}
} // namespace

/// One call at the ingress, with its HTTP exchange and its run on the upstream.
class IngressProxy::Run : public std::enable_shared_from_this<IngressProxy::Run>
{
public:
    Run(IngressProxy &proxy, core::EntryId id, core::CallEnvelope envelope, TraceParent trace, std::shared_ptr<net::HttpExchange> exchange)
        : proxy(proxy)
        , id(id)
        , envelope(std::move(envelope))
        , trace(trace)
        , exchange(std::move(exchange))
        , arrived(core::steadyNow())
        , deadline(this->arrived + this->envelope.remaining)
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

    void refuse(ErrorKind kind)
    {
        const auto outcome = this->proxy.controller.refuse(this->proxy.context.board, this->id, kind);
        this->sendErrorResponse(outcome);
        this->recordMetrics(kind);
        this->proxy.runs.erase(core::value(this->id));
    }

    void run()
    {
        auto &context = this->proxy.context;
        const auto &incoming = this->exchange->request();
        this->started = core::steadyNow();
        net::ClientRequest request;
        request.method = incoming.method;
        request.url = fmt::format("http://{}{}{}", context.settings.upstream->toString(), incoming.path, incoming.query);
        request.body = incoming.body;
        request.timeout = this->deadline - this->started;
        // A reused connection may be closed after the request was sent, which leaves unknown whether the request ran. A request
        // that is not idempotent therefore uses a new connection.
        request.needsNewConnection = !this->envelope.isIdempotent;
        request.mayResend = false;
        for (const auto &header : incoming.headers) {
            if (isForwardedHeader(header.name) && !net::equalsIgnoreCase(header.name, traceHeader)) {
                request.headers.push_back(header);
            }
        }
        auto span = this->trace;
        span.span = core::value(this->id);
        request.headers.push_back({std::string(traceHeader), span.toString()});
        request.headers.push_back({std::string(parentHeader), core::toHex(core::value(this->id))});
        request.headers.push_back({std::string(deadlineHeader), fmt::to_string(core::toMilliseconds(request.timeout))});

        ResponseRelay::Callbacks callbacks;
        callbacks.onCommit = [self = this->shared_from_this()](const net::ClientResponseHead &) { return self->commitResponse(); };
        callbacks.onDone = [self = this->shared_from_this()](const net::ClientResult &result) { self->handleEnd(result); };
        this->relay = std::make_shared<ResponseRelay>(context.loop, context.client, this->exchange, std::move(callbacks));
        this->relay->start(request);
    }

private:
    bool commitResponse()
    {
        const auto outcome = this->proxy.controller.beginResponse(this->proxy.context.board, this->id);
        this->relay->startStreaming(makeOutcomeHeaders(outcome));
        return true;
    }

    void handleEnd(const net::ClientResult &result)
    {
        auto outcome = this->complete(result.kind);
        const bool hasResponded = this->relay->isStreaming();
        if (!hasResponded && outcome.kind == ErrorKind::None) {
            this->relay->sendBuffered(makeOutcomeHeaders(outcome));
        } else if (!hasResponded) {
            this->sendErrorResponse(outcome);
        }
        this->recordMetrics(outcome.kind);
    }

    CallOutcome complete(ErrorKind kind)
    {
        auto &context = this->proxy.context;
        const auto keepAlive = this->shared_from_this();
        const decide::UpstreamResult result {
            .kind = kind,
            .httpStatus = this->relay->head().status,
            .started = this->started,
        };
        CallOutcome outcome;
        const auto actions = this->proxy.controller.handleCompletion(context.board, this->id, result, core::steadyNow(), outcome);
        this->proxy.runs.erase(core::value(this->id));
        this->proxy.performActions(actions);
        return outcome;
    }

    void cancel()
    {
        const auto keepAlive = this->shared_from_this();
        if (!this->relay) {
            this->proxy.controller.cancelQueued(this->proxy.context.board, this->id);
            this->proxy.runs.erase(core::value(this->id));
            this->recordMetrics(ErrorKind::Cancelled);
            return;
        }
        this->relay->cancel();
        static_cast<void>(this->complete(ErrorKind::Cancelled));
        this->recordMetrics(ErrorKind::Cancelled);
    }

    void sendErrorResponse(const CallOutcome &outcome)
    {
        auto response = makeErrorResponse(outcome);
        response.headers.push_back({std::string(outcomeHeader), core::encode(outcome)});
        this->exchange->respond(std::move(response));
    }

    void recordMetrics(ErrorKind kind)
    {
        this->proxy.context.metrics.countIngress(this->envelope.service, kind, core::steadyNow() - this->arrived);
    }

    IngressProxy &proxy;
    core::EntryId id;
    core::CallEnvelope envelope;
    TraceParent trace;
    std::shared_ptr<net::HttpExchange> exchange;
    std::shared_ptr<ResponseRelay> relay;
    core::TimePoint arrived;
    core::TimePoint deadline;
    core::TimePoint started {};
};

IngressProxy::IngressProxy(NodeContext context)
    : context(context)
{
    this->server = std::make_unique<net::HttpServer>(
        context.loop, context.settings.ingress, [this](std::shared_ptr<net::HttpExchange> exchange) { this->accept(std::move(exchange)); },
        net::HttpServerLimits {.bodyBytes = context.settings.maxBodyBytes});
}

IngressProxy::~IngressProxy() = default;

net::Address IngressProxy::address() const
{
    return this->server->address();
}

std::size_t IngressProxy::inFlight() const noexcept
{
    return this->runs.size();
}

void IngressProxy::accept(std::shared_ptr<net::HttpExchange> exchange)
{
    const auto &request = exchange->request();
    const auto text = net::findHeader(request.headers, callHeader);
    const auto proof = net::findHeader(request.headers, proofHeader);
    const auto signedText = fmt::format("{}\n{} {}", text, request.method, request.path);
    CallOutcome refusal;
    refusal.ran = core::Ran::No;
    if (!this->context.settings.keys.isValid(signedText, proof)) {
        refusal.kind = ErrorKind::NotTrusted;
        exchange->respond(makeErrorResponse(refusal));
        return;
    }
    const auto envelope = core::decodeEnvelope(text);
    if (!envelope || envelope->service != this->context.settings.service) {
        refusal.kind = ErrorKind::BadRequest;
        exchange->respond(makeErrorResponse(refusal));
        return;
    }
    const core::EntryId id {this->context.random()};
    const auto trace = parseTraceParent(net::findHeader(request.headers, traceHeader)).value_or(TraceParent {});
    const auto run = std::make_shared<Run>(*this, id, *envelope, trace, std::move(exchange));
    this->runs.emplace(core::value(id), run);
    run->cancelOnDisconnect();
    this->performActions(this->controller.handleArrival(this->context.board, {id, *envelope, trace.traceLow}, core::steadyNow()));
}

void IngressProxy::performActions(const std::vector<decide::IngressAction> &actions)
{
    for (const auto &action : actions) {
        const auto found = this->runs.find(core::value(action.entry));
        if (found == this->runs.end() || action.admission == Admission::Wait) {
            continue;
        }
        const auto run = found->second;
        if (action.admission == Admission::Run) {
            run->run();
        } else {
            run->refuse(action.refusal);
        }
    }
}

void IngressProxy::tick()
{
    this->performActions(this->controller.tick(this->context.board, core::steadyNow()));
}
} // namespace figpulley::node
