#include "mesh/inboundproxy.h"

#include "core/log.h"
#include "mesh/conditionheader.h"
#include "mesh/localregistrar.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"
#include "mesh/wireformat.h"
#include "node/errorresponse.h"
#include "node/headernames.h"
#include "node/responserelay.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;
using core::Ran;
using gate::SlotDecision;

constexpr core::Duration expirySweepInterval = 25ms; // precision with which queued attempts expire
// The endpoint is on this VM, so a slower connect means a dropped SYN packet, which is retransmitted only after 1 s.
constexpr core::Duration upstreamConnectTimeout = 400ms;
constexpr core::Duration maxUpstreamIdle = 3s; // endpoints close idle connections after their own timeout, usually 10 s
constexpr core::Duration upstreamTimeoutMargin = 20ms; // lets the timer of the sending node expire first
constexpr core::Duration minStartDelay = 2ms; // starts several attempts per timer under high rate limits
constexpr core::Duration refusedRetryAfter = 200ms;
constexpr int runTimeAllowance = 2; // multiple of the mean run time in which most runs end
constexpr int httpOk = 200;
constexpr int httpFirstNonSuccess = 300;
constexpr int httpBadGateway = 502;

// Responses with these statuses state that the request has not run and never will.
constexpr std::array<int, 4> notRunStatuses {408, 421, 429, 503};

bool meansNotRun(int status)
{
    return std::find(notRunStatuses.begin(), notRunStatuses.end(), status) != notRunStatuses.end();
}
} // namespace

/// One attempt of another node: its time in the queue and its run on the endpoint.
class InboundProxy::Attempt : public std::enable_shared_from_this<InboundProxy::Attempt>
{
public:
    Attempt(InboundProxy &proxy, core::EntryId id, AttemptHead head, std::shared_ptr<net::HttpExchange> exchange)
        : proxy(proxy)
        , id(id)
        , head(std::move(head))
        , exchange(std::move(exchange))
        , arrived(core::steadyNow())
        , deadline(this->arrived + this->head.remaining)
        , requestId(proxy.context.wire.readClientHead(this->exchange->request().headers).requestId)
    {
    }

    [[nodiscard]] gate::QueuedRequest queuedRequest() const
    {
        return {
            .entry = this->id,
            .rank = this->head.rank,
            .isNested = this->head.isNested,
            .arrived = this->arrived,
            .target = this->arrived + this->head.objectiveLeft,
            .deadline = this->deadline,
        };
    }

    [[nodiscard]] const AttemptHead &attemptHead() const noexcept
    {
        return this->head;
    }

    /// Acquires the retries that the calls of a repeated request will need.
    /// @returns false if the budget of a service does not suffice
    [[nodiscard]] bool reserveCalls()
    {
        if (!this->head.isRepeat) {
            return true;
        }
        auto acquired = this->proxy.retryBudget.tryReserve(this->proxy.chainTable.expectedCalls(),
                                                           this->proxy.context.board.directory.read().size(), this->arrived);
        if (acquired) {
            this->reservation = std::move(*acquired);
        }
        return acquired.has_value();
    }

    void cancelOnDisconnect()
    {
        this->exchange->onCancelled([weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->cancel();
            }
        });
    }

    void refuse(ErrorKind kind, Ran ran, core::Duration retryAfter)
    {
        AttemptReport report = this->report(kind);
        report.ran = ran;
        report.retryAfter = retryAfter;
        core::CallOutcome outcome;
        outcome.kind = kind;
        outcome.ran = ran;
        auto response = node::makeErrorResponse(outcome, retryAfter);
        for (auto &header : this->reportHeaders(report)) {
            response.headers.push_back(std::move(header));
        }
        this->exchange->respond(std::move(response));
        this->logRefusal(report);
        this->proxy.context.metrics.countIngress(this->head.service, kind, core::steadyNow() - this->arrived);
        this->proxy.attempts.erase(core::value(this->id));
    }

    void logRefusal(const AttemptReport &report) const
    {
        const auto kindName = core::errorProperties(report.kind).name;
        const auto omittedLines =
            this->head.isIdempotent ? this->proxy.context.sampler.tryAcquire(kindName, core::steadyNow()) : std::optional<std::uint64_t>(0);
        if (!omittedLines) {
            return;
        }
        core::log(core::LogLevel::Info, "attempt.refused",
                  {{"id", this->requestId},
                   {"kind", std::string(kindName)},
                   {"ran", std::string(core::name(report.ran))},
                   {"service", this->head.service},
                   {"endpoint", this->head.endpointId},
                   {"origin", this->head.originNode},
                   {"running", fmt::to_string(report.load.running)},
                   {"waiting", fmt::to_string(report.load.waiting)},
                   {"slots", fmt::to_string(report.load.slots)},
                   {"limit", formatRate(this->proxy.conditionUpdater.rateLimit())},
                   {"waited_ms", fmt::to_string(core::toMilliseconds(core::steadyNow() - this->arrived))},
                   {"retry_after_ms", fmt::to_string(core::toMilliseconds(report.retryAfter))},
                   {"left_out", fmt::to_string(*omittedLines)}});
    }

    void runOnEndpoint()
    {
        auto &context = this->proxy.context;
        const auto &incoming = this->exchange->request();
        this->started = core::steadyNow();
        this->incarnation = context.board.local.read().record()->incarnation;
        const auto kind = this->proxy.dispatchCounts.add(this->head.originNode, this->head.isNested, this->head.isRepeat);
        context.metrics.countDispatch(this->head.service, kind, this->started - this->arrived);
        this->proxy.chainTable.addRun(this->requestId, {this->head.rank, this->head.isRepeat, this->head.isNested},
                                      std::move(this->reservation));
        net::ClientRequest request;
        request.method = incoming.method;
        request.url = fmt::format("http://{}{}{}", context.settings.upstream.toString(), incoming.path, incoming.query);
        if (!incoming.body.empty()) {
            request.sharedBody = std::shared_ptr<const std::string>(this->exchange, &incoming.body);
        }
        request.timeout = this->deadline - this->started + upstreamTimeoutMargin;
        request.connectTimeout = std::min(upstreamConnectTimeout, request.timeout);
        // A reused connection may fail while it carries the request, and it would be unknown whether the request ran.
        request.needsNewConnection = !this->head.isIdempotent;
        request.mayResend = false;
        request.maxIdleTime = maxUpstreamIdle;
        request.mayBeCloseDelimited = true;
        request.maxResponseBytes = context.settings.maxResponseBytes;
        for (const auto &header : incoming.headers) {
            if (node::isForwardedHeader(header.name) && !context.wire.isReservedHeader(header.name)) {
                request.headers.push_back(header);
            }
        }
        context.wire.addUpstreamHeaders(request.headers, {this->deadline - this->started, this->head.endpointId, this->head.originService});
        node::ResponseRelay::Callbacks callbacks;
        callbacks.isAcceptable = [self = this->shared_from_this()](const net::ClientResponseHead &response) {
            return self->answersThisRequest(response);
        };
        callbacks.onCommit = [self = this->shared_from_this()](const net::ClientResponseHead &) { return self->acceptStream(); };
        callbacks.onDone = [self = this->shared_from_this()](const net::ClientResult &result) { self->handleResult(result); };
        this->relay = std::make_shared<node::ResponseRelay>(context.loop, context.relay, this->exchange, std::move(callbacks));
        this->relay->start(request);
    }

private:
    // An endpoint may respond to an earlier request when the response to this one is expected. The echoed request id shows this. Without
    // an id, only a failure counts, and only on a connection that has carried nothing else.
    [[nodiscard]] bool answersThisRequest(const net::ClientResponseHead &response)
    {
        const auto reply = this->proxy.context.wire.readUpstreamReply(response);
        const bool isSuccess = response.status >= httpOk && response.status < httpFirstNonSuccess;
        const bool isUnattributed = reply.requestId.empty() && (isSuccess || response.isOnReusedConnection);
        const bool isForeign = !reply.requestId.empty() && reply.requestId != this->requestId;
        if (isUnattributed || isForeign) {
            core::log(core::LogLevel::Warning, "answer.foreign",
                      {{"id", this->requestId}, {"answers", reply.requestId}, {"status", fmt::to_string(response.status)}});
            return false;
        }
        this->applyStatements(reply);
        return true;
    }

    // Applies what the endpoint states about itself in a response. A response without an id may belong to another request.
    void applyStatements(const UpstreamReply &reply)
    {
        auto &context = this->proxy.context;
        if (reply.requestId != this->requestId || !this->proxy.conditionUpdater.isCurrent(this->head.endpointId, this->incarnation)) {
            return;
        }
        if (reply.isLeaving) {
            this->proxy.registrar.handleLeavingResponse(this->head.endpointId, this->incarnation);
        }
        if (reply.isRateLimitInvalid) {
            if (const auto omittedLines = context.sampler.tryAcquire("endpoint.limit_invalid", core::steadyNow())) {
                core::log(core::LogLevel::Warning, "endpoint.limit_invalid",
                          {{"endpoint", this->head.endpointId}, {"id", this->requestId}, {"left_out", fmt::to_string(*omittedLines)}});
            }
        }
        if (this->proxy.conditionUpdater.applyResponse(reply, this->started, core::steadyNow())) {
            this->proxy.applyRateLimit("response");
        }
    }

    [[nodiscard]] net::Headers reportHeaders(const AttemptReport &report) const
    {
        net::Headers headers {{std::string(node::outcomeHeader), encode(report)}};
        if (const auto condition = this->proxy.reportedCondition()) {
            headers.push_back({std::string(node::conditionHeader), encode(*condition)});
        }
        return headers;
    }

    [[nodiscard]] AttemptReport report(ErrorKind kind) const
    {
        AttemptReport report;
        report.kind = kind;
        report.ran = core::errorProperties(kind).ran;
        report.load = this->proxy.load();
        const auto &table = this->proxy.context.board.config.read().table;
        report.configVersion = table ? table->version() : 0;
        return report;
    }

    bool acceptStream()
    {
        const auto reply = this->proxy.context.wire.readUpstreamReply(this->relay->head());
        const bool isSuccess = this->relay->head().status >= httpOk && this->relay->head().status < httpFirstNonSuccess;
        if (isSuccess && (!reply.isStamped || reply.isEncoded)) {
            return false;
        }
        this->replaceFalseNotRunStatus(reply);
        this->relay->startStreaming(this->reportHeaders(this->report(ErrorKind::None)));
        return true;
    }

    // Replaces a status that means "not run", unless the endpoint itself states that it did not run the request. Such a status must not
    // reach a client whose request did run.
    void replaceFalseNotRunStatus(const UpstreamReply &reply)
    {
        if (meansNotRun(this->relay->head().status) && !reply.isNotRun) {
            this->relay->setStatus(httpBadGateway);
            this->relay->removeHeader(this->proxy.context.wire.stampHeader());
            this->relay->removeHeader("Retry-After");
        }
    }

    void handleResult(const net::ClientResult &result)
    {
        const auto keepAlive = this->shared_from_this();
        if (this->relay->isStreaming()) {
            this->finish(result.kind);
            return;
        }
        if (result.kind != ErrorKind::None) {
            this->failAttempt(result.kind == ErrorKind::ConnectFailed ? ErrorKind::NotServing : result.kind, result.detail);
            return;
        }
        const auto reply = this->proxy.context.wire.readUpstreamReply(this->relay->head());
        const auto status = this->relay->head().status;
        const bool isSuccess = status >= httpOk && status < httpFirstNonSuccess;
        if (isSuccess && (!reply.isStamped || reply.isEncoded)) {
            this->failAttempt(ErrorKind::AnswerShort, "the response has no stamp header or was encoded by an intermediary");
            return;
        }
        if (reply.isNotRun) {
            this->failAttempt(ErrorKind::UpstreamRefused, fmt::format("the endpoint refused the request with status {}", status));
            return;
        }
        this->replaceFalseNotRunStatus(reply);
        this->finish(ErrorKind::None);
        this->relay->sendBuffered(this->reportHeaders(this->report(ErrorKind::None)));
    }

    // Refuses the attempt because its run gave no response that can be passed on.
    void failAttempt(ErrorKind kind, const std::string &detail)
    {
        const auto ran = core::errorProperties(kind).ran;
        core::log(core::LogLevel::Warning, "attempt.failed",
                  {{"id", this->requestId},
                   {"kind", std::string(core::errorProperties(kind).name)},
                   {"ran", std::string(core::name(ran))},
                   {"endpoint", this->head.endpointId},
                   {"ran_ms", fmt::to_string(core::toMilliseconds(core::steadyNow() - this->started))},
                   {"detail", detail}});
        const auto keepAlive = this->shared_from_this();
        const auto decisions = this->releaseSlot(false);
        this->refuse(kind, ran, refusedRetryAfter);
        this->proxy.applyDecisions(decisions);
    }

    void finish(ErrorKind kind)
    {
        const auto now = core::steadyNow();
        this->proxy.context.metrics.countIngress(this->head.service, kind, now - this->arrived);
        this->proxy.attempts.erase(core::value(this->id));
        this->proxy.applyDecisions(this->releaseSlot(kind == ErrorKind::None));
    }

    // Releases the slot of a finished run.
    [[nodiscard]] std::vector<SlotDecision> releaseSlot(bool isTimingSample)
    {
        const auto now = core::steadyNow();
        gate::FinishedRun run;
        run.isNested = this->head.isNested;
        run.runTime = isTimingSample ? now - this->started : core::Duration {};
        run.nestedTime = this->proxy.chainTable.removeRun(this->requestId, isTimingSample);
        run.objective = this->head.objectiveLeft;
        return this->proxy.queue.finish(run, now);
    }

    void cancel()
    {
        const auto keepAlive = this->shared_from_this();
        if (!this->relay) {
            this->proxy.queue.abandon(this->id);
            this->proxy.attempts.erase(core::value(this->id));
            this->proxy.context.metrics.countIngress(this->head.service, ErrorKind::Cancelled, core::steadyNow() - this->arrived);
            return;
        }
        this->relay->cancel();
        this->finish(ErrorKind::Cancelled);
    }

    InboundProxy &proxy;
    core::EntryId id;
    AttemptHead head;
    std::shared_ptr<net::HttpExchange> exchange;
    std::shared_ptr<node::ResponseRelay> relay;
    core::TimePoint arrived;
    core::TimePoint deadline;
    core::TimePoint started {};
    std::int64_t incarnation = 0; // incarnation of the endpoint that runs the request
    routing::CallReservation reservation; // until the request runs
    std::string requestId;
};

InboundProxy::InboundProxy(MeshContext context, LocalRegistrar &registrar, SnapshotExchange &snapshots, PeerCalls &peerCalls,
                           routing::RetryBudget &retryBudget)
    : context(context)
    , registrar(registrar)
    , snapshots(snapshots)
    , peerCalls(peerCalls)
    , retryBudget(retryBudget)
    , conditionUpdater(context.board)
{
    this->queue.setProbeInterval(context.settings.limitProbeInterval);
    this->server = std::make_unique<net::RelayServer>(
        context.loop, context.settings.ingress, [this](std::shared_ptr<net::HttpExchange> exchange) { this->accept(std::move(exchange)); });
}

InboundProxy::~InboundProxy()
{
    this->context.loop.cancel(this->expiryTimer);
    this->context.loop.cancel(this->startTimer);
}

std::size_t InboundProxy::inFlight() const noexcept
{
    return this->attempts.size();
}

routing::EndpointLoad InboundProxy::load() const noexcept
{
    return {this->queue.running(), this->queue.waiting(), this->queue.slots()};
}

routing::ChainTable &InboundProxy::chains() noexcept
{
    return this->chainTable;
}

core::Duration InboundProxy::meanRunTime() const noexcept
{
    return this->queue.meanRunTime();
}

DispatchCounts InboundProxy::takeDispatchCounts()
{
    return std::exchange(this->dispatchCounts, {});
}

void InboundProxy::setLimitProbeInterval(core::Duration interval)
{
    this->queue.setProbeInterval(interval);
    this->cancelStart();
    this->applyDecisions(this->queue.startWaiting(core::steadyNow()));
}

// Applies what is known about the endpoint's incarnation before an attempt is admitted.
void InboundProxy::updateCondition(const AttemptHead &head, std::string_view conditionHeader)
{
    if (this->conditionUpdater.followRecord()) {
        this->applyRateLimit("new incarnation");
    }
    const auto hint = decodeEndpointCondition(conditionHeader);
    if (hint && this->conditionUpdater.applyHint(*hint)) {
        this->applyRateLimit(head.originNode);
    }
}

void InboundProxy::applyRateLimit(std::string_view source)
{
    const auto now = core::steadyNow();
    const auto rateLimit = this->conditionUpdater.rateLimit();
    if (const auto omittedLines = this->context.sampler.tryAcquire("endpoint.limit", now)) {
        core::log(core::LogLevel::Info, "endpoint.limit",
                  {{"endpoint", this->context.board.condition.read().endpointId},
                   {"per_second", formatRate(rateLimit)},
                   {"source", std::string(source)},
                   {"running", fmt::to_string(this->queue.running())},
                   {"waiting", fmt::to_string(this->queue.waiting())},
                   {"left_out", fmt::to_string(*omittedLines)}});
    }
    this->cancelStart();
    this->applyDecisions(this->queue.setRateLimit(rateLimit, now));
}

// Returns what other nodes have to know about the endpoint; nothing if it neither has a limit nor is leaving.
std::optional<routing::EndpointCondition> InboundProxy::reportedCondition() const
{
    const auto &record = this->context.board.local.read().record();
    if (!record) {
        return std::nullopt;
    }
    routing::EndpointCondition condition;
    condition.endpointId = record->id;
    condition.incarnation = record->incarnation;
    condition.isLeaving = discovery::isFinal(record->state);
    if (this->conditionUpdater.isCurrent(record->id, record->incarnation) && this->conditionUpdater.rateLimit()) {
        const auto now = core::steadyNow();
        condition.rateLimit = this->conditionUpdater.rateLimit();
        condition.utilization = this->queue.rateLimitUtilization(now);
        condition.availableIn = this->queue.rateLimitDelay(now);
    }
    return condition.isLeaving || condition.rateLimit ? std::optional(condition) : std::nullopt;
}

ErrorKind InboundProxy::validate(const AttemptHead &head) const
{
    if (this->context.board.lifecycle.read().isStopping) {
        return ErrorKind::Stopping;
    }
    const auto &local = this->context.board.local.read();
    const bool isForEndpoint = local.acceptsRequests() && local.record()->id == head.endpointId && local.record()->service == head.service;
    return isForEndpoint ? ErrorKind::None : ErrorKind::NotServing;
}

void InboundProxy::accept(std::shared_ptr<net::HttpExchange> exchange)
{
    if (this->peerCalls.accept(exchange)) {
        return;
    }
    const auto &request = exchange->request();
    auto head = decodeAttemptHead(net::findHeader(request.headers, node::callHeader));
    if (!head) {
        core::CallOutcome outcome;
        outcome.kind = ErrorKind::NotTrusted;
        outcome.ran = Ran::No;
        exchange->respond(node::makeErrorResponse(outcome));
        return;
    }
    this->snapshots.fetchIfNewer(head->originNode, head->configVersion);
    this->updateCondition(*head, net::findHeader(request.headers, node::conditionHeader));
    const core::EntryId id {this->nextEntryId++};
    const auto attempt = std::make_shared<Attempt>(*this, id, std::move(*head), std::move(exchange));
    this->attempts.emplace(core::value(id), attempt);
    attempt->cancelOnDisconnect();
    const auto queued = attempt->queuedRequest();
    const auto refusal = this->validate(attempt->attemptHead());
    if (refusal != ErrorKind::None) {
        attempt->refuse(refusal, Ran::No, refusedRetryAfter);
        return;
    }
    if (!attempt->reserveCalls()) {
        attempt->refuse(ErrorKind::RetryBudgetSpent, Ran::No, refusedRetryAfter);
        return;
    }
    this->queue.setSlots(this->context.board.local.read().record()->slots);
    this->applyDecisions({this->queue.offer(queued, core::steadyNow())});
    this->scheduleExpiry();
}

void InboundProxy::applyDecisions(const std::vector<SlotDecision> &decisions)
{
    for (const auto &decision : decisions) {
        const auto found = this->attempts.find(core::value(decision.entry));
        if (found == this->attempts.end() || decision.kind == SlotDecision::Kind::Wait) {
            continue;
        }
        const auto attempt = found->second;
        if (decision.kind == SlotDecision::Kind::Run) {
            attempt->runOnEndpoint();
        } else {
            attempt->refuse(decision.refusal, Ran::No, decision.retryAfter);
        }
    }
    this->scheduleStart();
}

// Cancels the timer that was set for an earlier limit or interval.
void InboundProxy::cancelStart()
{
    this->context.loop.cancel(this->startTimer);
    this->startTimer = net::EventLoop::noTimer;
}

void InboundProxy::scheduleStart()
{
    if (this->startTimer != net::EventLoop::noTimer) {
        return;
    }
    const auto delay = this->queue.timeUntilNextStart(core::steadyNow());
    if (!delay) {
        return;
    }
    this->startTimer = this->context.loop.callAfter(std::max(minStartDelay, *delay), [this] {
        this->startTimer = net::EventLoop::noTimer;
        this->applyDecisions(this->queue.startWaiting(core::steadyNow()));
    });
}

void InboundProxy::refuseQueued()
{
    this->applyDecisions(this->queue.refuseAll(ErrorKind::NotServing));
}

void InboundProxy::refuseUnfinishable(core::TimePoint dueAt)
{
    if (this->queue.waiting() > 0 && core::steadyNow() + runTimeAllowance * this->queue.meanRunTime() > dueAt) {
        this->refuseQueued();
    }
}

std::size_t InboundProxy::unsentResponses() const noexcept
{
    return this->server->unsentResponses();
}

void InboundProxy::scheduleExpiry()
{
    if (this->queue.waiting() == 0 || this->expiryTimer != net::EventLoop::noTimer) {
        return;
    }
    this->expiryTimer = this->context.loop.callAfter(expirySweepInterval, [this] {
        this->expiryTimer = net::EventLoop::noTimer;
        this->applyDecisions(this->queue.expire(core::steadyNow()));
        this->scheduleExpiry();
    });
}
} // namespace figpulley::mesh
