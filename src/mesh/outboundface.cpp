#include "mesh/outboundface.h"

#include "core/log.h"
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
using routing::AttemptEnd;
using routing::AttemptPlan;

constexpr core::Duration assumedPatience = 10s; // of a client that does not tell its deadline
constexpr core::Duration peerConnectTimeout = 300ms; // a hundred times the way between zones
constexpr core::Duration peerSilence = 500ms; // a peer that acknowledges nothing is cut off or has no power; one lost packet takes 200 ms
constexpr core::Duration peerSilenceUnsafe = 2s; // nothing is won by giving up sooner on what must not be sent again
constexpr core::Duration hopAllowance = 20ms; // the gate gives up first, and so can say that a waiting request has not run
constexpr core::Duration shortestUsefulTime = 2 * hopAllowance;
constexpr core::Duration stopRefusalAfter = 3s; // two readiness checks a second apart have failed by then
constexpr core::Duration stopMargin = 600ms; // before the end of the grace time, for answers to be written
constexpr core::Duration noEndpointRetryAfter = 300ms;
constexpr int httpInternalError = 500;

AttemptEnd endOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::None:
        return AttemptEnd::Served;
    case ErrorKind::Overloaded:
    case ErrorKind::QueueTimeout:
    case ErrorKind::DeadlineExpired:
        return AttemptEnd::Full;
    case ErrorKind::NotServing:
    case ErrorKind::Stopping:
        return AttemptEnd::Leaving;
    case ErrorKind::ConnectFailed:
        return AttemptEnd::Unreachable;
    case ErrorKind::Cancelled:
        return AttemptEnd::Cancelled;
    default:
        return AttemptEnd::Failed;
    }
}
} // namespace

/// One request of a client and its attempts.
class OutboundFace::Call : public std::enable_shared_from_this<OutboundFace::Call>
{
public:
    Call(OutboundFace &face, std::shared_ptr<net::HttpExchange> exchange)
        : face(face)
        , exchange(std::move(exchange))
        , arrived(core::steadyNow())
    {
        this->face.calls.insert(this);
    }

    ~Call()
    {
        this->face.calls.erase(this);
    }

    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    void start()
    {
        auto &context = this->face.context;
        const auto &request = this->exchange->request();
        const auto head = context.wire.readClient(request.headers);
        this->requestId = head.requestId;
        const auto &lifecycle = context.board.lifecycle.read();
        if (lifecycle.isStopping && this->arrived - lifecycle.stopRequestedAt > stopRefusalAfter) {
            this->refuse(ErrorKind::Stopping, noEndpointRetryAfter);
            return;
        }
        this->table = context.board.config.read().table;
        if (!this->table) {
            this->refuse(ErrorKind::ConfigurationMissing, noEndpointRetryAfter);
            return;
        }
        this->route = this->table->match(net::findHeader(request.headers, "Host"), request.path);
        if (this->route == nullptr) {
            this->refuse(ErrorKind::NoRoute, {});
            return;
        }
        this->plan = AttemptPlan(this->route->isIdempotent(), this->route->mostAttempts);
        this->service = this->face.splits.pick(*this->route, context.random);
        this->chain = this->face.chains.contextOf(context.wire.parentOf(this->requestId), this->requestId, this->route->priority);
        this->face.retryBudget.countRequest(this->service, this->chain.isRepeat, this->arrived);
        this->deadline = this->arrived + std::min(head.patience.value_or(assumedPatience), this->route->timeout);
        if (lifecycle.isStopping) {
            // What cannot be done before the process ends is given up by the gate, as not run.
            this->deadline = std::min(this->deadline, lifecycle.stopRequestedAt + context.settings.grace - stopMargin);
        }
        const bool isTimed = !this->chain.isNested && head.patience.has_value();
        this->spent = isTimed ? this->face.patience.spent(this->route->name, *head.patience, this->arrived) : core::Duration {};
        this->target = this->arrived - this->spent + this->route->objective;
        this->exchange->onCancelled([weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->callerLeft();
            }
        });
        this->timer = context.loop.after(this->deadline - this->arrived, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->timer = net::EventLoop::noTimer;
                self->timedOut();
            }
        });
        this->attempt();
    }

    /// Gives the request its final answer now.
    void timedOut()
    {
        const auto keepAlive = this->shared_from_this();
        if (this->relay && this->relay->isStreaming()) {
            this->relay->cancel();
            return;
        }
        // What was sent may have run.
        this->mayHaveRun = this->mayHaveRun || this->isSent;
        this->cancelAttempt();
        this->giveUp(ErrorKind::QueueTimeout, noEndpointRetryAfter);
    }

private:
    void attempt()
    {
        auto &context = this->face.context;
        const auto now = core::steadyNow();
        if (this->deadline - now < shortestUsefulTime) {
            this->giveUp(ErrorKind::QueueTimeout, noEndpointRetryAfter);
            return;
        }
        const auto &directory = context.board.directory.read();
        const routing::PickRequest wanted {this->service, context.settings.availabilityZone, &this->tried, now};
        const auto *endpoint = this->face.picker.pick(directory, wanted, context.random);
        if (endpoint == nullptr && this->lastRefusal == ErrorKind::UpstreamRefused) {
            // All have refused by chance; one of them may take it now.
            this->tried.clear();
            endpoint = this->face.picker.pick(directory, wanted, context.random);
        }
        if (endpoint == nullptr) {
            this->giveUp(this->tried.empty() ? ErrorKind::NoEndpoint : this->lastRefusal, this->lastRetryAfter);
            return;
        }
        this->node = endpoint->record.node;
        this->tried.push_back(this->node);
        ++this->attempts;
        AttemptHead head;
        head.endpointId = endpoint->record.id;
        head.service = this->service;
        head.originService = context.settings.service;
        head.originNode = context.settings.ingress.toString();
        head.rank = this->chain.rank;
        head.isRepeat = this->chain.isRepeat || this->plan.mayHaveRun();
        head.isIdempotent = this->route->isIdempotent();
        head.isNested = this->chain.isNested;
        head.remaining = this->deadline - now - hopAllowance;
        // A request that was begun fails with any call that it makes, so a nested call is worth its whole time.
        head.objectiveLeft = this->chain.isNested ? head.remaining : this->target - now;
        head.configVersion = this->table->version();
        this->send(head);
    }

    void send(const AttemptHead &head)
    {
        auto &context = this->face.context;
        const auto &incoming = this->exchange->request();
        net::ClientRequest request;
        request.method = incoming.method;
        request.url = fmt::format("http://{}{}{}", this->node, incoming.path, incoming.query);
        request.body = incoming.body;
        request.timeout = head.remaining + 1s; // the call's own timer ends it sooner
        request.connectTimeout = std::min(peerConnectTimeout, head.remaining);
        request.mayResend = false;
        // A kept connection may have gone silent without a reset, and nobody could tell whether the request had run.
        request.isFreshConnection = !head.isIdempotent;
        request.silence = head.isIdempotent ? peerSilence : peerSilenceUnsafe;
        for (const auto &header : incoming.headers) {
            if (node::isForwardedHeader(header.name)) {
                request.headers.push_back(header);
            }
        }
        request.headers.push_back({std::string(node::callHeader), encode(head)});
        node::ResponseRelay::Callbacks callbacks;
        callbacks.onCommit = [self = this->shared_from_this()](const net::ClientAnswerHead &) { return self->commit(); };
        callbacks.onDone = [self = this->shared_from_this()](const net::ClientResult &result) { self->ended(result); };
        this->relay = std::make_shared<node::ResponseRelay>(context.loop, context.relay, this->exchange, std::move(callbacks));
        this->face.picker.sent(this->node);
        this->isSent = true;
        context.metrics.countAttempt(this->service, this->attempts > 1);
        this->relay->start(request);
    }

    bool commit()
    {
        const auto report = this->readReport();
        this->relay->startStreaming(this->ownHeaders());
        this->answered(report ? report->kind : ErrorKind::None, this->relay->head().status);
        return true;
    }

    [[nodiscard]] std::optional<AttemptReport> readReport() const
    {
        return decodeAttemptReport(net::findHeader(this->relay->head().headers, node::outcomeHeader));
    }

    [[nodiscard]] net::Headers ownHeaders() const
    {
        if (this->face.context.board.lifecycle.read().isStopping) {
            return {{"Connection", "close"}};
        }
        return {};
    }

    void ended(const net::ClientResult &result)
    {
        this->isSent = false;
        const auto now = core::steadyNow();
        const auto report = result.kind == ErrorKind::None ? this->readReport() : std::nullopt;
        // An answer without a report was made by neither the endpoint nor a node that knows this protocol.
        const auto kind = report ? report->kind : (result.kind == ErrorKind::None ? ErrorKind::AnswerLost : result.kind);
        const bool isEndpointFault = kind == ErrorKind::None && this->relay->head().status >= httpInternalError;
        const auto load = report ? std::optional(report->load) : std::nullopt;
        const auto end = result.isPeerSilent ? AttemptEnd::Unreachable : isEndpointFault ? AttemptEnd::Failed : endOf(kind);
        this->face.picker.ended(this->node, end, load, now);
        if (report) {
            this->face.snapshots.peerHas(this->node, report->configVersion);
        }
        if (this->relay->isStreaming()) {
            return;
        }
        if (kind == ErrorKind::None) {
            const auto status = this->relay->head().status;
            this->relay->sendBuffered(this->ownHeaders());
            this->answered(ErrorKind::None, status);
            return;
        }
        const auto ran = report ? report->ran : core::answerFor(kind).ran;
        this->retryOrGiveUp(kind, ran, report ? report->retryAfter : noEndpointRetryAfter, result.detail);
    }

    void retryOrGiveUp(ErrorKind kind, Ran ran, core::Duration retryAfter, const std::string &detail)
    {
        const auto now = core::steadyNow();
        core::log(core::LogLevel::Debug, "call.attempt_ended",
                  {{"id", this->requestId}, {"node", this->node}, {"kind", std::string(core::answerFor(kind).name)}, {"detail", detail}});
        this->lastRefusal = kind;
        this->lastRetryAfter = retryAfter;
        this->mayHaveRun = this->mayHaveRun || ran != Ran::No;
        // Whatever has arrived at an endpoint counts against the budget that all nodes share, also if the endpoint refused it.
        const auto next = ran != Ran::No         ? this->plan.lost()
            : kind == ErrorKind::UpstreamRefused ? this->plan.refusedByEndpoint()
                                                 : this->plan.refusedOnTheWay();
        // One that has waited at a node in vain would wait at the next one as well; its client is told at once.
        const bool hasTime = kind != ErrorKind::QueueTimeout && this->deadline - now > shortestUsefulTime;
        const bool isPaid = next != AttemptPlan::Next::Paid
            || this->face.retryBudget.take(this->service, this->chain.rank, this->face.context.board.directory.read().size(), now);
        if (next == AttemptPlan::Next::GiveUp || !hasTime || !isPaid) {
            this->giveUp(kind, retryAfter);
            return;
        }
        this->attempt();
    }

    void callerLeft()
    {
        const auto keepAlive = this->shared_from_this();
        this->cancelAttempt();
        this->answered(ErrorKind::Cancelled, 0);
    }

    void cancelAttempt()
    {
        if (this->isSent) {
            this->isSent = false;
            this->face.picker.ended(this->node, AttemptEnd::Cancelled, std::nullopt, core::steadyNow());
            this->relay->cancel();
        }
    }

    // A refusal promises that the request has not run, which an earlier attempt may have broken.
    void giveUp(ErrorKind kind, core::Duration retryAfter)
    {
        if (this->mayHaveRun && core::answerFor(kind).ran == Ran::No) {
            kind = ErrorKind::DeadlineUnknown;
        }
        this->refuse(kind, retryAfter);
    }

    void refuse(ErrorKind kind, core::Duration retryAfter)
    {
        core::CallOutcome outcome;
        outcome.kind = kind;
        outcome.ran = this->mayHaveRun ? Ran::Unknown : core::answerFor(kind).ran;
        auto answer = node::makeErrorResponse(outcome, std::max(retryAfter, core::Duration(1ms)));
        for (auto &header : this->ownHeaders()) {
            answer.headers.push_back(std::move(header));
        }
        const auto status = answer.status;
        this->exchange->answer(std::move(answer));
        this->logRefusal(kind, outcome.ran, status, retryAfter);
        this->answered(kind, status);
    }

    void logRefusal(ErrorKind kind, Ran ran, int status, core::Duration retryAfter) const
    {
        const auto kindName = core::answerFor(kind).name;
        const bool isSampled = this->route == nullptr || this->route->isIdempotent();
        const auto leftOut = isSampled ? this->face.context.sampler.take(kindName, core::steadyNow()) : std::optional<std::uint64_t>(0);
        if (!leftOut) {
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
                   {"spent_before_ms", fmt::to_string(core::toMilliseconds(this->spent))},
                   {"after_ms", fmt::to_string(core::toMilliseconds(core::steadyNow() - this->arrived))},
                   {"retry_after_ms", fmt::to_string(core::toMilliseconds(retryAfter))},
                   {"config_version", fmt::to_string(this->table ? this->table->version() : 0)},
                   {"left_out", fmt::to_string(*leftOut)}});
    }

    void answered(ErrorKind kind, int status)
    {
        this->face.context.loop.cancel(this->timer);
        this->timer = net::EventLoop::noTimer;
        this->face.chains.addNested(this->face.context.wire.parentOf(this->requestId), core::steadyNow() - this->arrived);
        const auto routeName = this->route != nullptr ? this->route->name : std::string();
        const auto priority = this->route != nullptr ? fmt::to_string(this->route->priority) : std::string();
        this->face.context.metrics.countCall(this->service, routeName, priority, kind, status, core::steadyNow() - this->arrived);
    }

    OutboundFace &face;
    std::shared_ptr<net::HttpExchange> exchange;
    std::shared_ptr<node::ResponseRelay> relay;
    routing::ChainContext chain;
    AttemptPlan plan;
    routing::RouteTablePtr table; // keeps the route alive
    const routing::Route *route = nullptr;
    std::string requestId;
    std::string service;
    std::string node; // of the latest attempt
    std::vector<std::string> tried;
    core::TimePoint arrived;
    core::TimePoint deadline {};
    core::TimePoint target {};
    core::Duration spent {}; // by the client on earlier attempts
    core::Duration lastRetryAfter = noEndpointRetryAfter;
    ErrorKind lastRefusal = ErrorKind::NoEndpoint;
    net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    int attempts = 0;
    bool mayHaveRun = false;
    bool isSent = false;
};

OutboundFace::OutboundFace(MeshContext context, SnapshotExchange &snapshots, routing::ChainTable &chains)
    : context(context)
    , snapshots(snapshots)
    , chains(chains)
    , retryBudget(context.settings.retryBudget)
{
    this->server =
        std::make_unique<net::RelayServer>(context.loop, context.settings.entrance,
                                           [this](std::shared_ptr<net::HttpExchange> exchange) { this->accept(std::move(exchange)); });
}

OutboundFace::~OutboundFace() = default;

void OutboundFace::setClientLimits(const routing::ClientLimits &limits)
{
    net::RelayServerLimits changed;
    changed.headerBytes = limits.headerBytes;
    changed.bodyBytes = limits.bodyBytes;
    changed.headerTimeout = limits.headerTimeout;
    changed.idleTimeout = limits.idleTimeout;
    this->server->setLimits(changed);
}

void OutboundFace::setRetryBudget(const routing::RetryBudgetRules &rules)
{
    this->retryBudget.setRules(rules);
}

std::size_t OutboundFace::inFlight() const noexcept
{
    return this->calls.size();
}

void OutboundFace::answerOpen()
{
    std::vector<std::shared_ptr<Call>> open;
    for (auto *call : this->calls) {
        if (auto held = call->weak_from_this().lock()) {
            open.push_back(std::move(held));
        }
    }
    for (const auto &call : open) {
        call->timedOut();
    }
}

core::TimePoint OutboundFace::lastArrival() const noexcept
{
    return this->arrivedLast;
}

void OutboundFace::accept(std::shared_ptr<net::HttpExchange> exchange)
{
    this->arrivedLast = core::steadyNow();
    std::make_shared<Call>(*this, std::move(exchange))->start();
}
} // namespace figpulley::mesh
