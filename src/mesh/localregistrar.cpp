#include "mesh/localregistrar.h"

#include "core/log.h"
#include "discovery/restorewindow.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"
#include "mesh/updaters.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;
using discovery::UpdateResult;

constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpServiceUnavailable = 503;
constexpr core::Duration maxAcknowledgementDelay = 600ms; // the endpoint accepts an acknowledgement only within 1 s
// Successors that have to know a departure which the store does not know.
constexpr std::size_t sufficientConfirmations = 2;
constexpr core::Duration minBackoff = 150ms;
constexpr core::Duration maxBackoff = 500ms; // the record has to be stored within 2 s after the store is available again
constexpr int maxDoublings = 3;
// Time in which a neighbour opens its contact to a node that has started, and answers it.
constexpr core::Duration introductionTime = 1s;
// Number of intervals without a heartbeat after which the state of the endpoint becomes Silent. Single heartbeats arrive seconds late.
constexpr int heartbeatTimeoutIntervals = 4;

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}
} // namespace

LocalRegistrar::LocalRegistrar(MeshContext context, std::function<void()> onClosed)
    : context(context)
    , onClosed(std::move(onClosed))
    , probe(std::make_shared<EndpointProbe>(
          context, [this](const std::string &endpointId, core::TimePoint askedAt) { this->handleHealthy(endpointId, askedAt); }))
    , notices(context)
{
    const auto &settings = context.settings;
    context.board.local.write() = discovery::LocalEndpoint(
        {settings.ingress.toString(), settings.service, settings.upstream.toString(), settings.availabilityZone}, this->startedAt);
}

void LocalRegistrar::start()
{
    this->scheduleHeartbeatCheck();
    this->runAfter(introductionTime, [](LocalRegistrar &self) {
        self.context.board.local.write().concludeInquiry();
        self.probe->start();
    });
}

// A successor that was told of a departure from before whose heartbeats may still arrive would know of it.
void LocalRegistrar::countWitness(const std::string &node, core::Duration keptFor)
{
    const auto ownUptime = core::steadyNow() - this->startedAt;
    if (keptFor > ownUptime + discovery::maxHeartbeatDelay && this->witnesses.insert(node).second) {
        this->context.board.local.write().setWitnesses(this->witnesses.size());
        this->probe->start();
    }
}

void LocalRegistrar::mergePeerRecord(const discovery::EndpointRecord &record)
{
    auto &local = this->context.board.local.write();
    const bool wasOpen = local.acceptsRequests();
    if (!local.mergePeerRecord(record, core::steadyNow())) {
        return;
    }
    this->logState("record known to other nodes");
    this->writeChange();
    this->probe->start();
    if (wasOpen && !local.acceptsRequests()) {
        this->onClosed();
    }
}

void LocalRegistrar::runAfter(core::Duration delay, std::function<void(LocalRegistrar &)> step)
{
    this->context.loop.callAfter(delay, [weak = this->weak_from_this(), step = std::move(step)] {
        if (const auto self = weak.lock()) {
            step(*self);
        }
    });
}

void LocalRegistrar::readStoredRecord()
{
    if (this->isReading) {
        return;
    }
    this->isReading = true;
    this->context.store.get(collection, recordName(this->context.settings.ingress.toString()),
                            [weak = this->weak_from_this()](const store::ItemResult &result) {
                                if (const auto self = weak.lock()) {
                                    self->isReading = false;
                                    self->handleStoredRecord(result);
                                }
                            });
}

void LocalRegistrar::handleStoredRecord(const store::ItemResult &result)
{
    const bool isAnswered = result.kind == ErrorKind::None || result.kind == ErrorKind::NotFound;
    if (!isAnswered) {
        this->failureCount = std::min(this->failureCount + 1, maxDoublings);
        this->runAfter(std::min(maxBackoff, minBackoff * (1 << this->failureCount)), [](LocalRegistrar &self) { self.readStoredRecord(); });
        return;
    }
    this->failureCount = 0;
    this->isStoredPositionKnown = true;
    this->storedPosition = {result.era, result.kind == ErrorKind::None ? result.item.revision : 0};
    const auto stored =
        result.kind == ErrorKind::None ? discovery::decodeEndpointRecord(result.item.content) : std::optional<discovery::EndpointRecord> {};
    auto &local = this->context.board.local.write();
    const bool wasOpen = local.acceptsRequests();
    const bool mustWrite = local.mergeStoredRecord(stored, core::steadyNow());
    this->logState("stored record read");
    if (wasOpen && !local.acceptsRequests()) {
        this->onClosed();
    }
    this->probe->start();
    if (mustWrite) {
        this->writeChange();
        return;
    }
    this->writtenChange = this->latestChange;
    this->acknowledgeKept();
}

void LocalRegistrar::handleHealthy(const std::string &endpointId, core::TimePoint askedAt)
{
    const auto result = this->context.board.local.write().confirm(endpointId, askedAt);
    if (result == UpdateResult::Stale) {
        return;
    }
    this->logState("health check");
    if (result == UpdateResult::Changed) {
        this->writeChange();
    }
}

void LocalRegistrar::handleHeartbeat(const discovery::Heartbeat &heartbeat, StatusCallback respond)
{
    auto &local = this->context.board.local.write();
    const bool wasOpen = local.acceptsRequests();
    const auto updateResult = local.applyHeartbeat(heartbeat, core::steadyNow());
    if (updateResult == UpdateResult::Foreign) {
        core::log(core::LogLevel::Warning, "heartbeat.foreign",
                  {{"endpoint", heartbeat.id}, {"service", heartbeat.service}, {"address", heartbeat.address}});
        respond(httpBadRequest);
        return;
    }
    if (updateResult == UpdateResult::Changed) {
        this->logState("heartbeat");
        this->writeChange();
        if (heartbeat.isDraining) {
            this->tellDeparture();
        }
    }
    if (wasOpen && !local.acceptsRequests()) {
        this->onClosed();
    }
    this->probe->start();
    if (heartbeat.isDraining) {
        this->acknowledgeWhenKept(std::move(respond));
    } else {
        respond(httpOk);
    }
}

void LocalRegistrar::handleDeparture(const discovery::Deregistration &deregistration, StatusCallback respond)
{
    auto &local = this->context.board.local.write();
    const bool wasOpen = local.acceptsRequests();
    const auto updateResult = local.applyDeregistration(deregistration, core::steadyNow(), wallMilliseconds());
    if (updateResult == UpdateResult::Changed) {
        this->logState("deregistered");
        this->writeChange();
        this->tellDeparture();
    }
    if (wasOpen && !local.acceptsRequests()) {
        this->onClosed();
    }
    this->acknowledgeWhenKept(std::move(respond));
}

void LocalRegistrar::handleLeavingResponse(const std::string &endpointId, std::int64_t incarnation)
{
    auto &local = this->context.board.local.write();
    if (local.applyLeaving(endpointId, incarnation, core::steadyNow()) != UpdateResult::Changed) {
        return;
    }
    this->logState("response states departure");
    this->writeChange();
    this->tellDeparture();
    this->onClosed();
}

void LocalRegistrar::tellDeparture()
{
    const auto &record = this->context.board.local.read().record();
    if (!record) {
        return;
    }
    const auto change = this->latestChange;
    this->toldChange = change;
    this->telling = this->notices.tell(*record, [this, change](DepartureNotices::Progress progress) {
        if (this->toldChange == change) {
            this->telling = progress;
            this->acknowledgeKept();
        }
    });
}

// Whether a change of the record outlasts this process. One that is stored is told as well: the store may become unavailable before the
// next process reads it.
bool LocalRegistrar::willOutlast(std::uint64_t change, bool isOverdue) const noexcept
{
    const bool isStored = this->writtenChange >= change;
    const auto progress = this->toldChange >= change ? this->telling : DepartureNotices::Progress {};
    const bool isToldEnough = progress.confirmed > 0 || progress.pending == 0;
    if (isStored && (isToldEnough || isOverdue)) {
        return true;
    }
    return progress.confirmed >= sufficientConfirmations || (progress.confirmed > 0 && (progress.pending == 0 || isOverdue));
}

void LocalRegistrar::acknowledgeWhenKept(StatusCallback respond)
{
    if (this->willOutlast(this->latestChange, false)) {
        respond(httpOk);
        return;
    }
    if (this->telling.pending == 0 && this->toldChange == this->latestChange) {
        this->tellDeparture(); // none has confirmed it, as they may have been unreachable
    }
    const auto change = this->latestChange;
    this->pendingAcknowledgements.push_back({change, std::move(respond)});
    this->runAfter(maxAcknowledgementDelay, [change](LocalRegistrar &self) { self.endWait(change); });
}

void LocalRegistrar::acknowledgeKept()
{
    std::vector<StatusCallback> callbacks;
    std::erase_if(this->pendingAcknowledgements, [&](PendingAcknowledgement &pending) {
        if (!this->willOutlast(pending.change, false)) {
            return false;
        }
        callbacks.push_back(std::move(pending.respond));
        return true;
    });
    for (const auto &respond : callbacks) {
        respond(httpOk);
    }
}

void LocalRegistrar::endWait(std::uint64_t change)
{
    std::vector<PendingAcknowledgement> ended;
    std::erase_if(this->pendingAcknowledgements, [&](PendingAcknowledgement &pending) {
        if (pending.change > change) {
            return false;
        }
        ended.push_back(std::move(pending));
        return true;
    });
    for (const auto &pending : ended) {
        const bool isKept = this->willOutlast(pending.change, true);
        if (!isKept) {
            core::log(core::LogLevel::Warning, "departure.not_acknowledged",
                      {{"cause", "neither the store nor another node has confirmed it"}});
        }
        pending.respond(isKept ? httpOk : httpServiceUnavailable);
    }
}

void LocalRegistrar::writeChange()
{
    ++this->latestChange;
    this->writeRecord();
}

void LocalRegistrar::writeRecord()
{
    if (this->isWriting || !this->isStoredPositionKnown || this->writtenChange >= this->latestChange) {
        return;
    }
    const auto &record = this->context.board.local.read().record();
    if (!record) {
        return;
    }
    this->isWriting = true;
    const auto change = this->latestChange;
    this->context.store.put(collection, recordName(record->node), discovery::encode(*record), this->storedPosition.revision,
                            [weak = this->weak_from_this(), change](const store::ItemResult &result) {
                                if (const auto self = weak.lock()) {
                                    self->isWriting = false;
                                    self->handleWriteResult(change, result);
                                }
                            });
}

// Reads the object again after a conflict, and after a write whose response was lost and which may have taken effect. In both cases the
// revision in the store is unknown.
void LocalRegistrar::handleWriteResult(std::uint64_t change, const store::ItemResult &result)
{
    switch (result.kind) {
    case ErrorKind::None:
        this->failureCount = 0;
        this->storedPosition = {result.era, result.item.revision};
        this->writtenChange = change;
        this->acknowledgeKept();
        this->writeRecord();
        break;
    case ErrorKind::PlatformUnavailable:
        this->scheduleWriteRetry();
        break;
    default:
        core::log(core::LogLevel::Warning, "endpoint.record_unsettled", {{"kind", std::string(core::errorProperties(result.kind).name)}});
        this->isStoredPositionKnown = false;
        this->readStoredRecord();
        break;
    }
}

void LocalRegistrar::scheduleWriteRetry()
{
    this->failureCount = std::min(this->failureCount + 1, maxDoublings);
    this->runAfter(std::min(maxBackoff, minBackoff * (1 << this->failureCount)), [](LocalRegistrar &self) { self.writeRecord(); });
}

void LocalRegistrar::confirmRecord(const std::optional<discovery::EndpointRecord> &stored, store::Position position)
{
    const auto &record = this->context.board.local.read().record();
    const bool isSettled = this->isStoredPositionKnown && !this->isWriting && !this->isReading && this->writtenChange >= this->latestChange;
    if (!record || !isSettled || this->isRewriteScheduled || position < this->storedPosition) {
        return;
    }
    if (stored && discovery::statesSame(*stored, *record)) {
        return;
    }
    const auto lost = this->context.board.directory.read().countBefore(position.era);
    const auto delay = std::chrono::duration_cast<core::Duration>(discovery::rewriteWindow(lost) * core::uniform(this->context.random));
    core::log(core::LogLevel::Warning, "endpoint.record_lost",
              {{"endpoint", record->id},
               {"state", std::string(discovery::name(record->state))},
               {"written_revision", fmt::to_string(this->storedPosition.revision)},
               {"written_era", fmt::to_string(this->storedPosition.era)},
               {"stored_state", stored ? std::string(discovery::name(stored->state)) : std::string("none")},
               {"era", fmt::to_string(position.era)},
               {"rewrite_after_ms", fmt::to_string(core::toMilliseconds(delay))}});
    this->isRewriteScheduled = true;
    this->runAfter(delay, [](LocalRegistrar &self) {
        self.isRewriteScheduled = false;
        self.isStoredPositionKnown = false;
        self.readStoredRecord();
    });
}

void LocalRegistrar::scheduleHeartbeatCheck()
{
    const auto interval = this->context.settings.heartbeatInterval;
    this->runAfter(interval, [interval](LocalRegistrar &self) {
        if (self.context.board.local.write().checkHeartbeatTimeout(interval * heartbeatTimeoutIntervals, core::steadyNow())) {
            self.logState("no heartbeat");
            self.writeChange();
        }
        self.scheduleHeartbeatCheck();
    });
}

void LocalRegistrar::logState(const char *cause) const
{
    const auto &local = this->context.board.local.read();
    const auto &record = local.record();
    if (!record) {
        core::log(core::LogLevel::Info, "local_endpoint.none", {{"cause", cause}});
        return;
    }
    core::log(core::LogLevel::Info, "local_endpoint.state",
              {{"endpoint", record->id},
               {"state", std::string(discovery::name(record->state))},
               {"incarnation", fmt::to_string(record->incarnation)},
               {"sequence", fmt::to_string(record->sequence)},
               {"slots", fmt::to_string(record->slots)},
               {"local_state", std::string(discovery::name(local.state()))},
               {"open", local.acceptsRequests() ? "true" : "false"},
               {"cause", cause}});
}
} // namespace figpulley::mesh
