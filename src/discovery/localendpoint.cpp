#include "discovery/localendpoint.h"

#include <algorithm>
#include <utility>

namespace figpulley::discovery
{
namespace
{
// Other nodes of which one at least was told of a departure that was acknowledged without the store.
constexpr std::size_t sufficientWitnesses = 2;
// Heartbeats that open an endpoint beside the word of the witnesses.
constexpr int confirmingHeartbeats = 2;
// Heartbeats that were held back together arrive within less.
constexpr core::Duration minRivalTime = std::chrono::seconds(1);
} // namespace

LocalEndpoint::LocalEndpoint(LocalIdentity identity, core::TimePoint startedAt)
    : identity(std::move(identity))
    , startedAt(startedAt)
    , doubtedSince(startedAt)
    , settledAt(startedAt)
{
}

// Incarnations are ordered by their start time. With equal start times, or none given, another id counts as a later incarnation. The
// incarnation in the record is never lower than a start time that was seen before it.
LocalEndpoint::Relation LocalEndpoint::relationOf(const std::string &id, std::int64_t startedMs) const noexcept
{
    if (!this->known) {
        return Relation::Later;
    }
    if (startedMs == this->known->startedMs && id == this->known->id) {
        return Relation::Same;
    }
    if (this->known->departed.contains(id, startedMs)) {
        return Relation::Departed;
    }
    const bool isLater = startedMs >= this->known->incarnation || this->isRecordOfOther(id);
    return isLater && !this->known->departed.containsLater(id, startedMs) ? Relation::Later : Relation::Unclear;
}

// The record of an endpoint that only a deregistration has named says nothing about an endpoint with another id: the call may come from
// another writer.
bool LocalEndpoint::isRecordOfOther(const std::string &id) const noexcept
{
    return this->localState == LocalState::LeftUnseen && this->known->id != id;
}

bool LocalEndpoint::isInDoubt() const noexcept
{
    return this->localState == LocalState::Heard || this->localState == LocalState::Unconfirmed;
}

// Whether a statement of the endpoint about its id shows that a rival is the present incarnation. Under the id of an incarnation that has
// left, a rival that started earlier may not be taken for it.
bool LocalEndpoint::mayBeShownByHealth(const Rival &other) const noexcept
{
    const bool isLaterThanLeaving = this->localState == LocalState::Leaving && other.record.startedMs > this->known->startedMs;
    return other.record.id != this->known->id || isLaterThanLeaving;
}

// Whether the latest heartbeat shows an endpoint in service. An endpoint that leaves sends no ready heartbeats any more, so one that
// arrives later than any that was sent before is enough; earlier ones count only beside the word of nodes that would know a departure from
// before the start.
bool LocalEndpoint::showsService(core::TimePoint heardAt) const noexcept
{
    const bool isVouchedFor =
        this->doubtedSince == this->startedAt && this->witnesses >= sufficientWitnesses && this->heartbeats >= confirmingHeartbeats;
    return isVouchedFor || heardAt - this->doubtedSince > maxHeartbeatDelay;
}

// Whether an incarnation of an id has left so recently that heartbeats from before may arrive.
bool LocalEndpoint::hasRecentDeparture(const std::string &id, core::TimePoint now) const noexcept
{
    if (!this->known || now - this->settledAt > maxHeartbeatDelay) {
        return false;
    }
    return (this->known->id == id && isFinal(this->known->state)) || this->known->departed.containsId(id);
}

// State of an incarnation whose first heartbeat has arrived. An earlier process may have acknowledged its departure and told only
// successors that have restarted since.
LocalState LocalEndpoint::stateOfNew(core::TimePoint heardAt) const noexcept
{
    if (this->showsService(heardAt)) {
        return LocalState::InService;
    }
    if (!this->isStoreRead) {
        return LocalState::Heard;
    }
    return this->hasEarlierProcess && this->witnesses < sufficientWitnesses ? LocalState::Unconfirmed : LocalState::InService;
}

EndpointRecord LocalEndpoint::recordOf(const Heartbeat &heartbeat) const
{
    return {
        .node = this->identity.node,
        .id = heartbeat.id,
        .service = heartbeat.service,
        .zone = this->identity.zone,
        .version = heartbeat.version,
        .slots = heartbeat.slots,
        .state = heartbeat.isDraining ? EndpointState::Draining : EndpointState::Ready,
        .incarnation = heartbeat.incarnation,
        .startedMs = heartbeat.incarnation,
        .sequence = heartbeat.sequence,
        .coldMs = core::toMilliseconds(heartbeat.coldRemaining),
    };
}

// Keeps the departure of another incarnation in the record, so that the next process knows it too.
UpdateResult LocalEndpoint::rememberDeparture(Departure departure, core::TimePoint now)
{
    if (this->known->departed.contains(departure.id, departure.startedMs)) {
        return UpdateResult::Stale;
    }
    if (this->rival && this->rival->record.id == departure.id) {
        this->rival.reset();
    }
    this->known->departed.add(std::move(departure));
    this->settledAt = now;
    return UpdateResult::Changed;
}

// Applies a departure of the incarnation in the record that another record has stated.
void LocalEndpoint::applyKnownDeparture() noexcept
{
    if (!isFinal(this->known->state) && this->known->departed.contains(this->known->id, this->known->startedMs)) {
        this->known->state = EndpointState::Gone;
        this->localState = LocalState::Leaving;
    }
}

// Replaces the record by one of another incarnation.
void LocalEndpoint::replaceRecord(EndpointRecord next, core::TimePoint now)
{
    if (this->known) {
        for (const auto &departure : this->known->departed.departures()) {
            next.departed.add(departure);
        }
        if (isFinal(this->known->state)) {
            next.departed.add({this->known->id, this->known->startedMs});
        }
    }
    this->known = std::move(next);
    this->settledAt = now;
    this->heartbeats = 0;
    this->rival.reset();
}

// Takes an incarnation that started earlier by its clock for the present one.
void LocalEndpoint::adopt(EndpointRecord next, LocalState state, core::TimePoint now)
{
    next.incarnation = this->known->incarnation + 1;
    this->replaceRecord(std::move(next), now);
    this->heartbeats = 1;
    this->lastContactAt = now;
    this->localState = state;
}

void LocalEndpoint::inherit(EndpointRecord record)
{
    record.node = this->identity.node;
    const bool isSame = this->relationOf(record.id, record.startedMs) == Relation::Same;
    // An incarnation whose heartbeats have arrived here may be the present one, whose clock has stepped back.
    std::optional<Rival> heard;
    if (isSame) {
        record.departed.merge(this->known->departed);
        this->known = std::move(record);
    } else {
        if (this->known && this->heartbeats > 0 && !isFinal(this->known->state)) {
            heard = Rival {*this->known, this->lastContactAt, this->lastContactAt};
        }
        this->replaceRecord(std::move(record), this->startedAt);
    }
    if (!isSame || this->localState != LocalState::InService) {
        this->localState = LocalState::Unconfirmed;
    }
    if (isFinal(this->known->state)) {
        this->localState = LocalState::Leaving;
    }
    this->rival = std::move(heard);
    this->applyKnownDeparture();
}

UpdateResult LocalEndpoint::applyHeartbeat(const Heartbeat &heartbeat, core::TimePoint now)
{
    if (heartbeat.service != this->identity.service || heartbeat.address != this->identity.address) {
        return UpdateResult::Foreign;
    }
    switch (this->relationOf(heartbeat.id, heartbeat.incarnation)) {
    case Relation::Departed:
        return UpdateResult::Stale;
    case Relation::Unclear:
        return this->applyUnclearHeartbeat(heartbeat, now);
    case Relation::Same:
        return this->applyPresentHeartbeat(heartbeat, now);
    case Relation::Later:
        break;
    }
    const bool isInDoubtAnew = this->hasRecentDeparture(heartbeat.id, now);
    this->replaceRecord(this->recordOf(heartbeat), now);
    this->heartbeats = 1;
    this->lastContactAt = now;
    if (isInDoubtAnew) {
        this->doubtedSince = now;
        this->localState = LocalState::Unconfirmed;
    } else {
        this->localState = this->stateOfNew(now);
    }
    if (heartbeat.isDraining) {
        this->localState = LocalState::Leaving;
    }
    return UpdateResult::Changed;
}

UpdateResult LocalEndpoint::applyPresentHeartbeat(const Heartbeat &heartbeat, core::TimePoint now)
{
    const bool isOutOfOrder = heartbeat.sequence <= this->known->sequence && this->heartbeats > 0;
    if (isOutOfOrder && !heartbeat.isDraining) {
        return UpdateResult::Stale;
    }
    auto next = this->recordOf(heartbeat);
    next.departed = this->known->departed;
    next.incarnation = this->known->incarnation;
    next.sequence = isOutOfOrder ? this->known->sequence : heartbeat.sequence;
    if (isFinal(this->known->state)) {
        next.state = this->known->state;
    } else if (heartbeat.isDraining) {
        this->localState = LocalState::Leaving;
        this->settledAt = now;
    }
    // The remaining cold start and the sequence number change with every heartbeat, so other nodes are notified only of a new state,
    // number of slots or version.
    const bool isSame = statesSame(next, *this->known);
    this->known = std::move(next);
    this->lastContactAt = now;
    this->rival.reset();
    ++this->heartbeats;
    if (this->isInDoubt() && this->showsService(now)) {
        this->localState = LocalState::InService;
    }
    return isSame ? UpdateResult::Unchanged : UpdateResult::Changed;
}

// The heartbeat is late and of an earlier incarnation, or of the present one, whose clock has stepped back before its start. A departure
// under the id in the record closes the endpoint all the same, since its acknowledgement binds. An incarnation that goes on with its
// heartbeats is the present one, if they arrive later than any from before the incarnation in the record, and if that one sends none.
UpdateResult LocalEndpoint::applyUnclearHeartbeat(const Heartbeat &heartbeat, core::TimePoint now)
{
    const bool isSameId = heartbeat.id == this->known->id;
    if (heartbeat.isDraining && !isSameId) {
        return this->rememberDeparture({heartbeat.id, heartbeat.incarnation}, now);
    }
    auto next = this->recordOf(heartbeat);
    if (heartbeat.isDraining) {
        this->adopt(std::move(next), LocalState::Leaving, now);
        return UpdateResult::Changed;
    }
    if (isSameId) {
        this->lastContactAt = now;
    }
    if (!this->rival || this->rival->record.id != next.id || this->rival->record.startedMs != next.startedMs) {
        this->rival = Rival {std::move(next), now, now};
        return UpdateResult::Stale;
    }
    const bool goesOn = next.sequence > this->rival->record.sequence && now - this->rival->heardAt >= minRivalTime;
    this->rival->record = next;
    this->rival->lastHeardAt = now;
    if (!goesOn || now - this->settledAt <= maxHeartbeatDelay) {
        return UpdateResult::Stale;
    }
    this->adopt(std::move(next), LocalState::InService, now);
    return UpdateResult::Changed;
}

UpdateResult LocalEndpoint::applyDeregistration(const Deregistration &deregistration, core::TimePoint now, std::int64_t wallMs)
{
    const bool isStartKnown = deregistration.incarnation != 0;
    // An incarnation that deregisters without its start has started before now, and its successor starts later.
    const auto startedMs = isStartKnown ? deregistration.incarnation : wallMs;
    if (!this->known) {
        EndpointRecord next;
        next.node = this->identity.node;
        next.service = this->identity.service;
        next.zone = this->identity.zone;
        next.id = deregistration.id;
        next.startedMs = startedMs;
        next.incarnation = startedMs;
        next.state = EndpointState::Gone;
        if (!isStartKnown) {
            next.departed.add({deregistration.id, startedMs, true});
        }
        this->replaceRecord(std::move(next), now);
        this->lastContactAt = now;
        this->localState = LocalState::LeftUnseen;
        return UpdateResult::Changed;
    }
    if (deregistration.id != this->known->id) {
        return this->rememberDeparture({deregistration.id, startedMs, !isStartKnown}, now);
    }
    const auto relation = isStartKnown ? this->relationOf(deregistration.id, startedMs) : Relation::Same;
    if (relation == Relation::Departed) {
        return UpdateResult::Stale;
    }
    if (relation == Relation::Same && this->known->state == EndpointState::Gone) {
        return UpdateResult::Unchanged;
    }
    this->lastContactAt = now;
    if (relation != Relation::Same) {
        // The endpoint has restarted under its id and leaves before its first heartbeat has arrived, or its clock has stepped back.
        auto next = *this->known;
        next.startedMs = startedMs;
        next.incarnation = std::max(startedMs, this->known->incarnation + 1);
        next.sequence = 0;
        this->replaceRecord(std::move(next), now);
    }
    this->known->state = EndpointState::Gone;
    this->localState = LocalState::Leaving;
    this->settledAt = now;
    return UpdateResult::Changed;
}

UpdateResult LocalEndpoint::applyLeaving(const std::string &id, std::int64_t incarnation, core::TimePoint now) noexcept
{
    if (!this->known || this->known->id != id || this->known->incarnation != incarnation) {
        return UpdateResult::Stale;
    }
    if (isFinal(this->known->state)) {
        return UpdateResult::Unchanged;
    }
    this->known->state = EndpointState::Draining;
    this->localState = LocalState::Leaving;
    this->settledAt = now;
    return UpdateResult::Changed;
}

bool LocalEndpoint::mergePeerRecord(const EndpointRecord &record, core::TimePoint now)
{
    if (record.service != this->identity.service) {
        return false;
    }
    if (this->known && !this->isRecordOfOther(record.id) && !precedes(*this->known, record)) {
        const auto before = *this->known;
        this->known->departed.merge(record.departed);
        this->applyKnownDeparture();
        return !statesSame(before, *this->known);
    }
    if (!this->known) {
        this->lastContactAt = now;
    }
    this->inherit(record);
    return true;
}

bool LocalEndpoint::mergeStoredRecord(const std::optional<EndpointRecord> &stored, core::TimePoint now)
{
    // Later reads find what this process has written itself.
    const bool isFirstRead = !std::exchange(this->isStoreRead, true);
    const bool isOfThisService = stored && stored->service == this->identity.service;
    this->hasEarlierProcess = this->hasEarlierProcess || (isFirstRead && isOfThisService);
    if (isOfThisService && !this->known) {
        this->inherit(*stored);
        this->lastContactAt = now;
        return false;
    }
    if (isOfThisService && (stored->incarnation > this->known->incarnation || this->isRecordOfOther(stored->id))) {
        this->inherit(*stored);
        return !statesSame(*stored, *this->known);
    }
    const bool isSame = isOfThisService && this->relationOf(stored->id, stored->startedMs) == Relation::Same;
    if (isFirstRead && this->localState == LocalState::Heard) {
        this->localState = isSame ? LocalState::Unconfirmed : this->stateOfNew(this->lastContactAt);
    }
    if (isSame && precedes(*this->known, *stored)) {
        this->known->state = stored->state;
        this->localState = LocalState::Leaving;
    }
    if (isOfThisService) {
        this->known->departed.merge(stored->departed);
        this->applyKnownDeparture();
    }
    return this->known && !(isOfThisService && statesSame(*stored, *this->known));
}

void LocalEndpoint::setWitnesses(std::size_t count) noexcept
{
    this->witnesses = count;
}

void LocalEndpoint::concludeInquiry() noexcept
{
    this->isInquiryConcluded = true;
}

bool LocalEndpoint::checkHeartbeatTimeout(core::Duration timeout, core::TimePoint now)
{
    if (this->rival && now - this->rival->lastHeardAt > maxHeartbeatDelay) {
        this->rival.reset();
    }
    const bool isSilent = this->known && this->known->state == EndpointState::Ready && now - this->lastContactAt > timeout;
    if (isSilent) {
        this->known->state = EndpointState::Silent;
    }
    return isSilent;
}

// Missing heartbeats alone do not stop requests: heartbeats may be delayed while the endpoint serves.
bool LocalEndpoint::acceptsRequests() const noexcept
{
    return this->localState == LocalState::InService;
}

LocalState LocalEndpoint::state() const noexcept
{
    return this->localState;
}

bool LocalEndpoint::isFirstProcess() const noexcept
{
    return this->isStoreRead && !this->hasEarlierProcess;
}

bool LocalEndpoint::needsConfirmation() const noexcept
{
    const bool isPastKnown = this->isStoreRead || this->isInquiryConcluded || this->witnesses >= sufficientWitnesses;
    return isPastKnown && (this->isInDoubt() || (this->rival && this->mayBeShownByHealth(*this->rival)));
}

UpdateResult LocalEndpoint::confirm(const std::string &id, core::TimePoint askedAt)
{
    if (!this->needsConfirmation()) {
        return UpdateResult::Stale;
    }
    if (id == this->known->id && this->isInDoubt() && askedAt >= this->doubtedSince) {
        this->rival.reset();
        this->localState = LocalState::InService;
        return UpdateResult::Unchanged;
    }
    if (id == this->known->id && this->localState == LocalState::InService) {
        this->rival.reset();
        return UpdateResult::Stale;
    }
    const bool isOfRival = this->rival && id == this->rival->record.id && askedAt >= this->rival->heardAt;
    if (!isOfRival || !this->mayBeShownByHealth(*this->rival)) {
        return UpdateResult::Stale;
    }
    this->adopt(std::move(this->rival->record), LocalState::InService, askedAt);
    return UpdateResult::Changed;
}

const std::optional<EndpointRecord> &LocalEndpoint::record() const noexcept
{
    return this->known;
}
} // namespace figpulley::discovery
