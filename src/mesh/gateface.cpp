#include "mesh/gateface.h"

#include "core/log.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"
#include "mesh/wireformat.h"
#include "node/errorresponse.h"
#include "node/headernames.h"
#include "node/responserelay.h"

#include <algorithm>
#include <array>
#include <chrono>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;
using core::Ran;
using gate::SlotDecision;

constexpr core::Duration expirySweep = 25ms; // precision with which waiting requests give up
constexpr core::Duration upstreamConnectTimeout = 400ms; // the endpoint is on this VM; dropped opening packets are sent again after 1 s
constexpr core::Duration upstreamIdle = 3s; // endpoints close idle connections after a timeout of their own, mostly 10 s
constexpr core::Duration cutMargin = 20ms; // the sender's own timer comes first
constexpr core::Duration refusedRetryAfter = 200ms;
constexpr int httpOk = 200;
constexpr int httpFirstFailure = 300;
constexpr int httpBadGateway = 502;

// Answers with these statuses promise that the request has not run and never will.
constexpr std::array<int, 4> notRunStatuses {408, 421, 429, 503};

bool promisesNotRun(int status)
{
    return std::find(notRunStatuses.begin(), notRunStatuses.end(), status) != notRunStatuses.end();
}
} // namespace

/// One attempt at the gate and its run on the endpoint.
class GateFace::Run : public std::enable_shared_from_this<GateFace::Run>
{
public:
    Run(GateFace &face, core::EntryId id, AttemptHead head, std::shared_ptr<net::HttpExchange> exchange)
        : face(face)
        , id(id)
        , head(std::move(head))
        , exchange(std::move(exchange))
        , arrived(core::steadyNow())
        , deadline(this->arrived + this->head.remaining)
        , requestId(face.context.wire.readClient(this->exchange->request().headers).requestId)
    {
    }

    [[nodiscard]] gate::QueuedRequest queued() const
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

    [[nodiscard]] const AttemptHead &attempt() const noexcept
    {
        return this->head;
    }

    void watchCaller()
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
        auto answer = node::makeErrorResponse(outcome, retryAfter);
        answer.headers.push_back({std::string(node::outcomeHeader), encode(report)});
        this->exchange->answer(std::move(answer));
        this->logRefusal(report);
        this->face.context.metrics.countIngress(this->head.service, kind, core::steadyNow() - this->arrived);
        this->face.runs.erase(core::value(this->id));
    }

    void logRefusal(const AttemptReport &report) const
    {
        const auto kindName = core::answerFor(report.kind).name;
        const auto leftOut =
            this->head.isIdempotent ? this->face.context.sampler.take(kindName, core::steadyNow()) : std::optional<std::uint64_t>(0);
        if (!leftOut) {
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
                   {"waited_ms", fmt::to_string(core::toMilliseconds(core::steadyNow() - this->arrived))},
                   {"retry_after_ms", fmt::to_string(core::toMilliseconds(report.retryAfter))},
                   {"left_out", fmt::to_string(*leftOut)}});
    }

    void run()
    {
        auto &context = this->face.context;
        const auto &incoming = this->exchange->request();
        this->started = core::steadyNow();
        this->face.chainTable.begin(this->requestId, {this->head.rank, this->head.isRepeat, this->head.isNested});
        net::ClientRequest request;
        request.method = incoming.method;
        request.url = fmt::format("http://{}{}{}", context.settings.upstream.toString(), incoming.path, incoming.query);
        request.body = incoming.body;
        request.timeout = this->deadline - this->started + cutMargin;
        request.connectTimeout = std::min(upstreamConnectTimeout, request.timeout);
        // A reused connection may die with the request in it, and nobody could tell whether it ran.
        request.isFreshConnection = !this->head.isIdempotent;
        request.mayResend = false;
        request.largestIdle = upstreamIdle;
        request.mayBeUnframed = true;
        for (const auto &header : incoming.headers) {
            if (node::isForwardedHeader(header.name) && !context.wire.isOwnHeader(header.name)) {
                request.headers.push_back(header);
            }
        }
        context.wire.addUpstream(request.headers, {this->deadline - this->started, this->head.endpointId, this->head.originService});
        node::ResponseRelay::Callbacks callbacks;
        callbacks.isAcceptable = [self = this->shared_from_this()](const net::ClientAnswerHead &answer) { return self->isOwn(answer); };
        callbacks.onCommit = [self = this->shared_from_this()](const net::ClientAnswerHead &) { return self->commit(); };
        callbacks.onDone = [self = this->shared_from_this()](const net::ClientResult &result) { self->ended(result); };
        this->relay = std::make_shared<node::ResponseRelay>(context.loop, context.relay, this->exchange, std::move(callbacks));
        this->relay->start(request);
    }

private:
    // An endpoint may answer an earlier request where the answer to this one is expected; the echoed id tells.
    [[nodiscard]] bool isOwn(const net::ClientAnswerHead &answer) const
    {
        const auto reply = this->face.context.wire.readReply(answer);
        const bool isSuccess = answer.status >= httpOk && answer.status < httpFirstFailure;
        if (reply.requestId.empty() ? isSuccess : reply.requestId != this->requestId) {
            core::log(core::LogLevel::Warning, "answer.foreign", {{"id", this->requestId}, {"answers", reply.requestId}});
            return false;
        }
        return true;
    }

    [[nodiscard]] AttemptReport report(ErrorKind kind) const
    {
        AttemptReport report;
        report.kind = kind;
        report.ran = core::answerFor(kind).ran;
        report.load = this->face.load();
        const auto &table = this->face.context.board.config.read().table;
        report.configVersion = table ? table->version() : 0;
        return report;
    }

    bool commit()
    {
        const auto reply = this->face.context.wire.readReply(this->relay->head());
        const bool isSuccess = this->relay->head().status >= httpOk && this->relay->head().status < httpFirstFailure;
        if (isSuccess && (!reply.isStamped || reply.isEncoded)) {
            this->isSpoilt = true;
            return false;
        }
        this->prepareFailure(reply);
        this->relay->startStreaming({{std::string(node::outcomeHeader), encode(this->report(ErrorKind::None))}});
        return true;
    }

    // A status of the endpoint that would promise that the request has not run must not reach a client if it did run.
    void prepareFailure(const UpstreamReply &reply)
    {
        if (promisesNotRun(this->relay->head().status) && !reply.isNotRun) {
            this->relay->setStatus(httpBadGateway);
            this->relay->removeHeader(this->face.context.wire.stampHeader());
            this->relay->removeHeader("Retry-After");
        }
    }

    void ended(const net::ClientResult &result)
    {
        const auto keepAlive = this->shared_from_this();
        if (this->relay->isStreaming()) {
            this->close(result.kind);
            return;
        }
        if (result.kind != ErrorKind::None) {
            this->fail(result.kind == ErrorKind::ConnectFailed ? ErrorKind::NotServing : result.kind, result.detail);
            return;
        }
        const auto reply = this->face.context.wire.readReply(this->relay->head());
        const auto status = this->relay->head().status;
        const bool isSuccess = status >= httpOk && status < httpFirstFailure;
        if (this->isSpoilt || (isSuccess && (!reply.isStamped || reply.isEncoded))) {
            this->fail(ErrorKind::AnswerShort, "the answer is not the endpoint's own");
            return;
        }
        if (reply.isNotRun) {
            this->fail(ErrorKind::UpstreamRefused, fmt::format("the endpoint refused with {}", status));
            return;
        }
        this->prepareFailure(reply);
        this->close(ErrorKind::None);
        this->relay->sendBuffered({{std::string(node::outcomeHeader), encode(this->report(ErrorKind::None))}});
    }

    // The attempt gave no answer that can be passed on.
    void fail(ErrorKind kind, const std::string &detail)
    {
        const auto ran = core::answerFor(kind).ran;
        core::log(core::LogLevel::Warning, "attempt.failed",
                  {{"id", this->requestId},
                   {"kind", std::string(core::answerFor(kind).name)},
                   {"ran", std::string(core::name(ran))},
                   {"endpoint", this->head.endpointId},
                   {"ran_ms", fmt::to_string(core::toMilliseconds(core::steadyNow() - this->started))},
                   {"detail", detail}});
        const auto keepAlive = this->shared_from_this();
        const auto decisions = this->endRun(false);
        this->refuse(kind, ran, refusedRetryAfter);
        this->face.carryOut(decisions);
    }

    void close(ErrorKind kind)
    {
        const auto now = core::steadyNow();
        this->face.context.metrics.countIngress(this->head.service, kind, now - this->arrived);
        this->face.runs.erase(core::value(this->id));
        this->face.carryOut(this->endRun(kind == ErrorKind::None));
    }

    // Gives the slot back.
    [[nodiscard]] std::vector<SlotDecision> endRun(bool isSample)
    {
        const auto now = core::steadyNow();
        gate::FinishedRun run;
        run.isNested = this->head.isNested;
        run.total = isSample ? now - this->started : core::Duration {};
        run.nested = this->face.chainTable.end(this->requestId);
        run.objective = this->head.objectiveLeft;
        return this->face.queue.finish(run, now);
    }

    void cancel()
    {
        const auto keepAlive = this->shared_from_this();
        if (!this->relay) {
            this->face.queue.abandon(this->id);
            this->face.runs.erase(core::value(this->id));
            this->face.context.metrics.countIngress(this->head.service, ErrorKind::Cancelled, core::steadyNow() - this->arrived);
            return;
        }
        this->relay->cancel();
        this->close(ErrorKind::Cancelled);
    }

    GateFace &face;
    core::EntryId id;
    AttemptHead head;
    std::shared_ptr<net::HttpExchange> exchange;
    std::shared_ptr<node::ResponseRelay> relay;
    core::TimePoint arrived;
    core::TimePoint deadline;
    core::TimePoint started {};
    std::string requestId;
    bool isSpoilt = false; // a large answer turned out not to be the endpoint's
};

GateFace::GateFace(MeshContext context, SnapshotExchange &snapshots, ChangeRelay &changes)
    : context(context)
    , snapshots(snapshots)
    , changes(changes)
{
    this->server = std::make_unique<net::RelayServer>(
        context.loop, context.settings.ingress, [this](std::shared_ptr<net::HttpExchange> exchange) { this->accept(std::move(exchange)); });
}

GateFace::~GateFace()
{
    this->context.loop.cancel(this->expiryTimer);
}

std::size_t GateFace::inFlight() const noexcept
{
    return this->runs.size();
}

routing::EndpointLoad GateFace::load() const noexcept
{
    return {this->queue.running(), this->queue.waiting(), this->queue.slots()};
}

routing::ChainTable &GateFace::chains() noexcept
{
    return this->chainTable;
}

core::Duration GateFace::meanRun() const noexcept
{
    return this->queue.meanRun();
}

ErrorKind GateFace::check(const AttemptHead &head) const
{
    if (this->context.board.lifecycle.read().isStopping) {
        return ErrorKind::Stopping;
    }
    const auto &local = this->context.board.local.read();
    const bool isMeant = local.isOpen() && local.record()->id == head.endpointId && local.record()->service == head.service;
    return isMeant ? ErrorKind::None : ErrorKind::NotServing;
}

void GateFace::accept(std::shared_ptr<net::HttpExchange> exchange)
{
    const auto &request = exchange->request();
    if (!net::findHeader(request.headers, SnapshotExchange::header).empty()) {
        exchange->answer({httpOk, {{"Content-Type", "application/json"}}, this->snapshots.snapshot()});
        return;
    }
    if (!net::findHeader(request.headers, ChangeRelay::header).empty()) {
        this->changes.accept(exchange);
        return;
    }
    auto head = decodeAttemptHead(net::findHeader(request.headers, node::callHeader));
    if (!head) {
        core::CallOutcome outcome;
        outcome.kind = ErrorKind::NotTrusted;
        outcome.ran = Ran::No;
        exchange->answer(node::makeErrorResponse(outcome));
        return;
    }
    this->snapshots.peerHas(head->originNode, head->configVersion);
    const core::EntryId id {this->nextEntry++};
    const auto run = std::make_shared<Run>(*this, id, std::move(*head), std::move(exchange));
    this->runs.emplace(core::value(id), run);
    run->watchCaller();
    const auto queued = run->queued();
    const auto defect = this->check(run->attempt());
    if (defect != ErrorKind::None) {
        run->refuse(defect, Ran::No, refusedRetryAfter);
        return;
    }
    this->queue.setSlots(this->context.board.local.read().record()->slots);
    this->carryOut({this->queue.offer(queued, core::steadyNow())});
    this->armExpiry();
}

void GateFace::carryOut(const std::vector<SlotDecision> &decisions)
{
    for (const auto &decision : decisions) {
        const auto found = this->runs.find(core::value(decision.entry));
        if (found == this->runs.end() || decision.kind == SlotDecision::Kind::Wait) {
            continue;
        }
        const auto run = found->second;
        if (decision.kind == SlotDecision::Kind::Run) {
            run->run();
        } else {
            run->refuse(decision.refusal, Ran::No, decision.retryAfter);
        }
    }
}

void GateFace::closeGate()
{
    this->carryOut(this->queue.clear(ErrorKind::NotServing));
}

void GateFace::armExpiry()
{
    if (this->queue.waiting() == 0 || this->expiryTimer != net::EventLoop::noTimer) {
        return;
    }
    this->expiryTimer = this->context.loop.after(expirySweep, [this] {
        this->expiryTimer = net::EventLoop::noTimer;
        this->carryOut(this->queue.expire(core::steadyNow()));
        this->armExpiry();
    });
}
} // namespace figpulley::mesh
