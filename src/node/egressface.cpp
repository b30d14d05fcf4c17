#include "node/egressface.h"

#include "node/answerrelay.h"
#include "node/headernames.h"
#include "node/ownanswer.h"
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

// The service called is the first label of the Host header: "motivi", "motivi:80" and "motivi.internal" name the same one.
std::string serviceOf(const net::Headers &headers)
{
    const auto host = net::findHeader(headers, "Host");
    return std::string(host.substr(0, host.find_first_of(".:")));
}

std::optional<core::Duration> timeoutOf(const net::Headers &headers)
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

/// One call and its transport, from arrival to answer.
class EgressFace::Call : public std::enable_shared_from_this<EgressFace::Call>
{
public:
    Call(EgressFace &face, core::CallId id, std::shared_ptr<net::HttpExchange> exchange)
        : face(face)
        , id(id)
        , exchange(std::move(exchange))
    {
    }

    void start(bool isNested)
    {
        auto &context = this->face.context;
        const auto &request = this->exchange->request();
        this->started = core::steadyNow();
        this->trace = parseTraceParent(net::findHeader(request.headers, traceHeader))
                          .value_or(TraceParent {context.random(), context.random(), 0, 1});
        decide::CallRequest call;
        call.service = serviceOf(request.headers);
        call.method = request.method;
        call.path = request.path;
        call.isNested = isNested;
        call.user = std::string(net::findHeader(request.headers, context.board.config.read().current->priorities.userHeader));
        call.timeout = timeoutOf(request.headers);
        call.traceLow = this->trace.traceLow;
        if (isNested) {
            call.parent = this->namedParent();
        }
        this->noteRoute(call);
        this->exchange->onCancelled([self = this->shared_from_this()] { self->cancel(); });
        this->follow(this->face.controller.begin(context.board, this->id, call, this->started, context.random));
    }

private:
    // A header of ours names the parent; so does the trace's span, if the application passes it on unchanged.
    [[nodiscard]] std::optional<core::EntryId> namedParent() const
    {
        std::uint64_t number = 0;
        if (core::fromHex(net::findHeader(this->exchange->request().headers, parentHeader), number)) {
            return core::EntryId {number};
        }
        return this->trace.span != 0 ? std::optional(core::EntryId {this->trace.span}) : std::nullopt;
    }

    void noteRoute(const decide::CallRequest &call)
    {
        const auto &board = this->face.context.board;
        const auto &priorities = board.config.read().current->priorities;
        // Only names that the configuration or the members vouch for become labels: clients may send any.
        if (!board.endpoints.read().forService(call.service).empty()) {
            this->countedService = call.service;
        }
        if (const auto *route = priorities.match(call.service, call.method, call.path)) {
            this->route = route->name;
            this->priority = priorities.levels[route->level];
            this->countedService = call.service;
        }
    }

    void follow(const CallStep &step)
    {
        if (const auto *send = std::get_if<decide::SendAttempt>(&step)) {
            this->send(*send);
        } else if (const auto *wait = std::get_if<decide::WaitBeforeRetry>(&step)) {
            this->retryTimer = this->face.context.loop.callAfter(wait->delay, [self = this->shared_from_this()] { self->retry(); });
        } else {
            this->finish(std::get<decide::FinishCall>(step).outcome);
        }
    }

    void retry()
    {
        auto &context = this->face.context;
        this->retryTimer = net::EventLoop::noTimer;
        this->follow(this->face.controller.resumeAfterWait(context.board, this->id, core::steadyNow(), context.random));
    }

    void send(const decide::SendAttempt &attempt)
    {
        auto &context = this->face.context;
        const auto &incoming = this->exchange->request();
        net::ClientRequest request;
        request.method = incoming.method;
        request.url = fmt::format("http://{}{}{}", attempt.address, incoming.path, incoming.query);
        request.body = incoming.body;
        request.timeout = attempt.deadline - core::steadyNow();
        // Every repetition is ours to count: libcurl must not make one on its own.
        request.mayResend = false;
        for (const auto &header : incoming.headers) {
            if (isPassedOn(header.name) && !net::equalsIgnoreCase(header.name, traceHeader)) {
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
        context.metrics.countAttempt(this->countedService, this->hasAttempted);
        this->hasAttempted = true;

        AnswerRelay::Callbacks callbacks;
        callbacks.onCommit = [self = this->shared_from_this()](const net::ClientResponseHead &) { return self->commit(); };
        callbacks.onDone = [self = this->shared_from_this()](const net::ClientResult &result) { self->attemptEnded(result); };
        this->relay = std::make_shared<AnswerRelay>(context.loop, context.client, this->exchange, std::move(callbacks));
        this->relay->start(request);
    }

    [[nodiscard]] std::optional<CallOutcome> reportedOutcome() const
    {
        return core::decodeOutcome(net::findHeader(this->relay->head().headers, outcomeHeader));
    }

    // A large answer has begun: from here on it is this call's answer.
    bool commit()
    {
        auto &context = this->face.context;
        const decide::AttemptResult result {ErrorKind::AnswerLost, this->reportedOutcome(), core::steadyNow()};
        const bool isAnswer = result.outcome && result.outcome->kind == ErrorKind::None;
        if (!isAnswer) {
            return false;
        }
        const auto step = this->face.controller.handleAttemptResult(context.board, this->id, result, context.random);
        const auto *finished = std::get_if<decide::FinishCall>(&step);
        if (finished == nullptr) {
            // The answer is an upstream's refusal, and another endpoint is tried.
            this->stepAfterDrop = step;
            return false;
        }
        this->isFinished = true;
        this->count(ErrorKind::None, this->relay->head().status);
        this->relay->passStream(answerHeaders(finished->outcome));
        return true;
    }

    void attemptEnded(const net::ClientResult &result)
    {
        auto &context = this->face.context;
        if (this->isFinished) {
            return;
        }
        if (this->stepAfterDrop) {
            this->follow(*std::exchange(this->stepAfterDrop, std::nullopt));
            return;
        }
        decide::AttemptResult ended {result.kind, std::nullopt, core::steadyNow()};
        if (result.kind == ErrorKind::None) {
            ended.outcome = this->reportedOutcome();
            // An answer without a report did not come from a node.
            ended.kind = ErrorKind::AnswerLost;
        }
        this->follow(this->face.controller.handleAttemptResult(context.board, this->id, ended, context.random));
    }

    void finish(const CallOutcome &outcome)
    {
        this->isFinished = true;
        if (outcome.kind == ErrorKind::None) {
            this->count(ErrorKind::None, this->relay->head().status);
            this->relay->passHeld(answerHeaders(outcome));
            return;
        }
        auto answer = ownAnswer(outcome);
        answer.headers.push_back(retriesOf(outcome));
        this->count(outcome.kind, answer.status);
        this->exchange->respond(std::move(answer));
    }

    [[nodiscard]] static net::Header retriesOf(const CallOutcome &outcome)
    {
        return {std::string(retriesHeader), fmt::to_string(outcome.retriesSpent)};
    }

    [[nodiscard]] static net::Headers answerHeaders(const CallOutcome &outcome)
    {
        return {{std::string(ranHeader), std::string(core::name(core::Ran::Yes))}, retriesOf(outcome)};
    }

    void cancel()
    {
        if (this->isFinished) {
            return;
        }
        auto &context = this->face.context;
        this->isFinished = true;
        context.loop.cancel(this->retryTimer);
        if (this->relay) {
            this->relay->cancel();
        }
        const auto outcome = this->face.controller.cancel(context.board, this->id, ErrorKind::Cancelled, core::steadyNow());
        this->count(outcome.kind, core::errorProperties(outcome.kind).httpStatus);
    }

    void count(ErrorKind kind, int status)
    {
        this->face.context.metrics.countCall(this->countedService, this->route, this->priority, kind, status,
                                             core::steadyNow() - this->started);
    }

    EgressFace &face;
    core::CallId id;
    std::shared_ptr<net::HttpExchange> exchange;
    std::shared_ptr<AnswerRelay> relay;
    std::optional<CallStep> stepAfterDrop;
    TraceParent trace;
    std::string countedService = "unlisted";
    std::string route = "unlisted";
    std::string priority = "unlisted";
    core::TimePoint started {};
    net::EventLoop::TimerId retryTimer = net::EventLoop::noTimer;
    bool isFinished = false;
    bool hasAttempted = false;
};

EgressFace::EgressFace(NodeContext context)
    : context(context)
{
    const net::HttpServerLimits limits {.bodyBytes = context.settings.largestBody};
    this->entrance = std::make_unique<net::HttpServer>(
        context.loop, context.settings.entrance,
        [this](std::shared_ptr<net::HttpExchange> exchange) { this->accept(std::move(exchange), false); }, limits);
    this->nested = std::make_unique<net::HttpServer>(
        context.loop, context.settings.nested,
        [this](std::shared_ptr<net::HttpExchange> exchange) { this->accept(std::move(exchange), true); }, limits);
}

EgressFace::~EgressFace() = default;

net::Address EgressFace::entranceAddress() const
{
    return this->entrance->address();
}

net::Address EgressFace::nestedAddress() const
{
    return this->nested->address();
}

void EgressFace::stopAccepting()
{
    this->entrance->stopAccepting();
}

void EgressFace::accept(std::shared_ptr<net::HttpExchange> exchange, bool isNested)
{
    const auto call = std::make_shared<Call>(*this, core::CallId {this->nextCall++}, std::move(exchange));
    call->start(isNested);
}
} // namespace figpulley::node
