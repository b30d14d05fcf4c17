#include "node/ingressface.h"

#include "node/answerrelay.h"
#include "node/headernames.h"
#include "node/ownanswer.h"
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

net::Headers outcomeHeaders(const CallOutcome &outcome)
{
    return {{std::string(outcomeHeader), core::encode(outcome)}};
}
} // namespace

/// One call at the ingress and its run on the upstream.
class IngressFace::Run : public std::enable_shared_from_this<IngressFace::Run>
{
public:
    Run(IngressFace &face, core::EntryId id, core::CallEnvelope envelope, TraceParent trace, std::shared_ptr<net::HttpExchange> exchange)
        : face(face)
        , id(id)
        , envelope(std::move(envelope))
        , trace(trace)
        , exchange(std::move(exchange))
        , arrived(core::steadyNow())
        , deadline(this->arrived + this->envelope.remaining)
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

    void refuse(ErrorKind kind)
    {
        const auto outcome = this->face.controller.refuse(this->face.context.board, this->id, kind);
        this->answerOwn(outcome);
        this->count(kind);
        this->face.runs.erase(core::value(this->id));
    }

    void run()
    {
        auto &context = this->face.context;
        const auto &incoming = this->exchange->request();
        this->started = core::steadyNow();
        net::ClientRequest request;
        request.method = incoming.method;
        request.url = fmt::format("http://{}{}{}", context.settings.upstream->toString(), incoming.path, incoming.query);
        request.body = incoming.body;
        request.timeout = this->deadline - this->started;
        // A reused connection may die with the request in it, and nobody could tell whether it ran.
        request.needsNewConnection = !this->envelope.isIdempotent;
        request.mayResend = false;
        for (const auto &header : incoming.headers) {
            if (isPassedOn(header.name) && !net::equalsIgnoreCase(header.name, traceHeader)) {
                request.headers.push_back(header);
            }
        }
        auto span = this->trace;
        span.span = core::value(this->id);
        request.headers.push_back({std::string(traceHeader), span.toString()});
        request.headers.push_back({std::string(parentHeader), core::toHex(core::value(this->id))});
        request.headers.push_back({std::string(deadlineHeader), fmt::to_string(core::toMilliseconds(request.timeout))});

        AnswerRelay::Callbacks callbacks;
        callbacks.onCommit = [self = this->shared_from_this()](const net::ClientResponseHead &) { return self->commit(); };
        callbacks.onDone = [self = this->shared_from_this()](const net::ClientResult &result) { self->ended(result); };
        this->relay = std::make_shared<AnswerRelay>(context.loop, context.client, this->exchange, std::move(callbacks));
        this->relay->start(request);
    }

private:
    bool commit()
    {
        const auto outcome = this->face.controller.beginResponse(this->face.context.board, this->id);
        this->relay->passStream(outcomeHeaders(outcome));
        return true;
    }

    void ended(const net::ClientResult &result)
    {
        auto outcome = this->close(result.kind);
        const bool isAnswered = this->relay->isStreaming();
        if (!isAnswered && outcome.kind == ErrorKind::None) {
            this->relay->passHeld(outcomeHeaders(outcome));
        } else if (!isAnswered) {
            this->answerOwn(outcome);
        }
        this->count(outcome.kind);
    }

    CallOutcome close(ErrorKind kind)
    {
        auto &context = this->face.context;
        const auto keepAlive = this->shared_from_this();
        const decide::UpstreamResult result {
            .kind = kind,
            .httpStatus = this->relay->head().status,
            .started = this->started,
        };
        CallOutcome outcome;
        const auto actions = this->face.controller.handleCompletion(context.board, this->id, result, core::steadyNow(), outcome);
        this->face.runs.erase(core::value(this->id));
        this->face.carryOut(actions);
        return outcome;
    }

    void cancel()
    {
        const auto keepAlive = this->shared_from_this();
        if (!this->relay) {
            this->face.controller.cancelQueued(this->face.context.board, this->id);
            this->face.runs.erase(core::value(this->id));
            this->count(ErrorKind::Cancelled);
            return;
        }
        this->relay->cancel();
        static_cast<void>(this->close(ErrorKind::Cancelled));
        this->count(ErrorKind::Cancelled);
    }

    void answerOwn(const CallOutcome &outcome)
    {
        auto answer = ownAnswer(outcome);
        answer.headers.push_back({std::string(outcomeHeader), core::encode(outcome)});
        this->exchange->respond(std::move(answer));
    }

    void count(ErrorKind kind)
    {
        this->face.context.metrics.countIngress(this->envelope.service, kind, core::steadyNow() - this->arrived);
    }

    IngressFace &face;
    core::EntryId id;
    core::CallEnvelope envelope;
    TraceParent trace;
    std::shared_ptr<net::HttpExchange> exchange;
    std::shared_ptr<AnswerRelay> relay;
    core::TimePoint arrived;
    core::TimePoint deadline;
    core::TimePoint started {};
};

IngressFace::IngressFace(NodeContext context)
    : context(context)
{
    this->server = std::make_unique<net::HttpServer>(
        context.loop, context.settings.ingress, [this](std::shared_ptr<net::HttpExchange> exchange) { this->accept(std::move(exchange)); },
        net::HttpServerLimits {.bodyBytes = context.settings.largestBody});
}

IngressFace::~IngressFace() = default;

net::Address IngressFace::address() const
{
    return this->server->address();
}

std::size_t IngressFace::inFlight() const noexcept
{
    return this->runs.size();
}

void IngressFace::accept(std::shared_ptr<net::HttpExchange> exchange)
{
    const auto &request = exchange->request();
    const auto text = net::findHeader(request.headers, callHeader);
    const auto proof = net::findHeader(request.headers, proofHeader);
    const auto signedText = fmt::format("{}\n{} {}", text, request.method, request.path);
    CallOutcome refusal;
    refusal.ran = core::Ran::No;
    if (!this->context.settings.keys.isValid(signedText, proof)) {
        refusal.kind = ErrorKind::NotTrusted;
        exchange->respond(ownAnswer(refusal));
        return;
    }
    const auto envelope = core::decodeEnvelope(text);
    if (!envelope || envelope->service != this->context.settings.service) {
        refusal.kind = ErrorKind::BadRequest;
        exchange->respond(ownAnswer(refusal));
        return;
    }
    const core::EntryId id {this->context.random()};
    const auto trace = parseTraceParent(net::findHeader(request.headers, traceHeader)).value_or(TraceParent {});
    const auto run = std::make_shared<Run>(*this, id, *envelope, trace, std::move(exchange));
    this->runs.emplace(core::value(id), run);
    run->watchCaller();
    this->carryOut(this->controller.handleArrival(this->context.board, {id, *envelope, trace.traceLow}, core::steadyNow()));
}

void IngressFace::carryOut(const std::vector<decide::IngressAction> &actions)
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

void IngressFace::tick()
{
    this->carryOut(this->controller.tick(this->context.board, core::steadyNow()));
}
} // namespace figpulley::node
