#include "mesh/localrecorder.h"

#include "core/log.h"
#include "mesh/keepers.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"

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
constexpr core::Duration longestAcknowledgementWait = 600ms; // an acknowledgement counts within a second
constexpr core::Duration shortestBackoff = 150ms;
constexpr core::Duration longestBackoff = 500ms; // the record is back within 2 s of the store's return
constexpr int mostDoublings = 3;
constexpr int silentIntervals = 4; // heartbeats that may be missing: single ones come seconds late

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}
} // namespace

LocalRecorder::LocalRecorder(MeshContext context, std::function<void()> onClosed)
    : context(context)
    , onClosed(std::move(onClosed))
{
    const auto &settings = context.settings;
    context.board.local.write() = discovery::LocalEndpoint({settings.ingress.toString(), settings.service, settings.availabilityZone});
}

void LocalRecorder::start()
{
    this->readStored();
    this->armSilenceCheck();
}

void LocalRecorder::after(core::Duration delay, std::function<void(LocalRecorder &)> step)
{
    this->context.loop.after(delay, [weak = this->weak_from_this(), step = std::move(step)] {
        if (const auto self = weak.lock()) {
            step(*self);
        }
    });
}

void LocalRecorder::readStored()
{
    if (this->isReading) {
        return;
    }
    this->isReading = true;
    this->context.store.get(collection, recordName(this->context.settings.ingress.toString()),
                            [weak = this->weak_from_this()](const store::ItemResult &result) {
                                if (const auto self = weak.lock()) {
                                    self->isReading = false;
                                    self->adoptStored(result);
                                }
                            });
}

void LocalRecorder::adoptStored(const store::ItemResult &result)
{
    const bool isAnswered = result.kind == ErrorKind::None || result.kind == ErrorKind::NotFound;
    if (!isAnswered) {
        this->failures = std::min(this->failures + 1, mostDoublings);
        this->after(std::min(longestBackoff, shortestBackoff * (1 << this->failures)), [](LocalRecorder &self) { self.readStored(); });
        return;
    }
    this->failures = 0;
    this->isStoredKnown = true;
    this->storedRevision = result.kind == ErrorKind::None ? result.item.revision : 0;
    const auto stored =
        result.kind == ErrorKind::None ? discovery::decodeEndpointRecord(result.item.content) : std::optional<discovery::EndpointRecord> {};
    auto &local = this->context.board.local.write();
    const bool wasOpen = local.acceptsRequests();
    const bool mustWrite = local.mergeStoredRecord(stored, core::steadyNow());
    this->logRecord("stored record read");
    if (wasOpen && !local.acceptsRequests()) {
        this->onClosed();
    }
    if (mustWrite) {
        this->changed();
        return;
    }
    this->writtenChange = this->latestChange;
    this->release(this->latestChange);
}

void LocalRecorder::hear(const discovery::Heartbeat &announcement, Answer answer)
{
    auto &local = this->context.board.local.write();
    const bool wasOpen = local.acceptsRequests();
    const auto hearing = local.applyHeartbeat(announcement, core::steadyNow());
    if (hearing == UpdateResult::Foreign) {
        core::log(core::LogLevel::Warning, "heartbeat.foreign", {{"endpoint", announcement.id}, {"service", announcement.service}});
        answer(httpBadRequest);
        return;
    }
    if (hearing == UpdateResult::Changed) {
        this->logRecord("heartbeat");
        this->changed();
    }
    if (wasOpen && !local.acceptsRequests()) {
        this->onClosed();
    }
    if (announcement.isDraining) {
        this->acknowledgeAfterWrite(std::move(answer));
    } else {
        answer(httpOk);
    }
}

void LocalRecorder::leave(const discovery::Deregistration &departure, Answer answer)
{
    auto &local = this->context.board.local.write();
    const bool wasOpen = local.acceptsRequests();
    const auto hearing = local.applyDeregistration(departure, core::steadyNow(), wallMilliseconds());
    if (hearing == UpdateResult::Changed) {
        this->logRecord("deregistered");
        this->changed();
    }
    if (wasOpen && !local.acceptsRequests()) {
        this->onClosed();
    }
    this->acknowledgeAfterWrite(std::move(answer));
}

void LocalRecorder::acknowledgeAfterWrite(Answer answer)
{
    if (this->writtenChange >= this->latestChange) {
        answer(httpOk);
        return;
    }
    const auto change = this->latestChange;
    this->waiters.push_back({change, std::move(answer)});
    this->after(longestAcknowledgementWait, [change](LocalRecorder &self) { self.release(change); });
}

void LocalRecorder::release(std::uint64_t change)
{
    std::vector<Answer> answers;
    std::erase_if(this->waiters, [&](Waiter &waiter) {
        if (waiter.change > change) {
            return false;
        }
        answers.push_back(std::move(waiter.answer));
        return true;
    });
    for (const auto &answer : answers) {
        answer(httpOk);
    }
}

void LocalRecorder::changed()
{
    ++this->latestChange;
    this->write();
}

void LocalRecorder::write()
{
    if (this->isWriting || !this->isStoredKnown || this->writtenChange >= this->latestChange) {
        return;
    }
    const auto &record = this->context.board.local.read().record();
    if (!record) {
        return;
    }
    this->isWriting = true;
    const auto change = this->latestChange;
    this->context.store.put(collection, recordName(record->node), discovery::encode(*record), this->storedRevision,
                            [weak = this->weak_from_this(), change](const store::ItemResult &result) {
                                if (const auto self = weak.lock()) {
                                    self->isWriting = false;
                                    self->written(change, result);
                                }
                            });
}

// A write whose answer was lost may have taken effect, and a conflict shows that the object is another than was thought: both are
// settled by reading it back.
void LocalRecorder::written(std::uint64_t change, const store::ItemResult &result)
{
    switch (result.kind) {
    case ErrorKind::None:
        this->failures = 0;
        this->storedRevision = result.item.revision;
        this->writtenChange = change;
        this->release(change);
        this->write();
        break;
    case ErrorKind::PlatformUnavailable:
        this->writeLater();
        break;
    default:
        core::log(core::LogLevel::Warning, "endpoint.record_unsettled", {{"kind", std::string(core::errorProperties(result.kind).name)}});
        this->isStoredKnown = false;
        this->readStored();
        break;
    }
}

void LocalRecorder::writeLater()
{
    this->failures = std::min(this->failures + 1, mostDoublings);
    this->after(std::min(longestBackoff, shortestBackoff * (1 << this->failures)), [](LocalRecorder &self) { self.write(); });
}

void LocalRecorder::armSilenceCheck()
{
    const auto interval = this->context.settings.heartbeatInterval;
    this->after(interval, [interval](LocalRecorder &self) {
        if (self.context.board.local.write().checkHeartbeatTimeout(interval * silentIntervals, core::steadyNow())) {
            self.logRecord("no heartbeat");
            self.changed();
        }
        self.armSilenceCheck();
    });
}

void LocalRecorder::logRecord(const char *cause) const
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
               {"open", local.acceptsRequests() ? "true" : "false"},
               {"cause", cause}});
}
} // namespace figpulley::mesh
