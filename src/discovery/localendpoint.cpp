#include "discovery/localendpoint.h"

#include <utility>

namespace figpulley::discovery
{
namespace
{
// Other nodes of which one at least was told of a departure that was acknowledged without the store.
constexpr std::size_t sufficientWitnesses = 2;
// Heartbeats that open an endpoint beside the word of the witnesses.
constexpr int confirmingHeartbeats = 2;
} // namespace

LocalEndpoint::LocalEndpoint(LocalIdentity identity, core::TimePoint startedAt)
    : identity(std::move(identity))
    , doubtedSince(startedAt)
{
}

// Incarnations are ordered by their start time. With equal start times, or none given, another id counts as a newer incarnation.
bool LocalEndpoint::isNewIncarnation(const std::string &id, std::int64_t incarnation) const noexcept
{
    if (!this->known) {
        return true;
    }
    if (incarnation != this->known->incarnation) {
        return incarnation > this->known->incarnation;
    }
    return id != this->known->id;
}

bool LocalEndpoint::hasDeparted(const Heartbeat &heartbeat) const noexcept
{
    return this->otherDeparture && heartbeat.id == this->otherDeparture->id && heartbeat.incarnation <= this->otherDeparture->incarnation;
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

// Whether the heartbeat that has just arrived shows an endpoint in service. An endpoint that leaves sends no ready heartbeats any more, so
// one that arrives later than any that was sent before is enough; earlier ones count only beside the word of nodes that would know.
bool LocalEndpoint::showsService(core::TimePoint now) const noexcept
{
    const bool isVouchedFor = this->witnesses >= sufficientWitnesses && this->heartbeats >= confirmingHeartbeats;
    return isVouchedFor || now - this->doubtedSince > maxHeartbeatDelay;
}

void LocalEndpoint::inherit(const EndpointRecord &record)
{
    if (this->isRecordOfOther(record.id)) {
        this->otherDeparture = Deregistration {this->known->id, this->known->incarnation};
    }
    this->known = record;
    this->known->node = this->identity.node;
    this->localState = isFinal(record.state) ? LocalState::Leaving : LocalState::Unconfirmed;
}

UpdateResult LocalEndpoint::applyHeartbeat(const Heartbeat &heartbeat, core::TimePoint now)
{
    if (heartbeat.service != this->identity.service || heartbeat.address != this->identity.address) {
        return UpdateResult::Foreign;
    }
    const bool replacesOther = this->isRecordOfOther(heartbeat.id);
    const bool isEarlier = this->known && !replacesOther && heartbeat.incarnation < this->known->incarnation;
    if (isEarlier || this->hasDeparted(heartbeat)) {
        return UpdateResult::Stale;
    }
    const bool isNew = replacesOther || this->isNewIncarnation(heartbeat.id, heartbeat.incarnation);
    const bool isOutOfOrder = !isNew && heartbeat.sequence <= this->known->sequence && this->heartbeats > 0;
    if (isOutOfOrder && !heartbeat.isDraining) {
        return UpdateResult::Stale;
    }
    this->lastContactAt = now;
    this->heartbeats = isNew ? 1 : this->heartbeats + 1;
    EndpointRecord next {
        .node = this->identity.node,
        .id = heartbeat.id,
        .service = heartbeat.service,
        .zone = this->identity.zone,
        .version = heartbeat.version,
        .slots = heartbeat.slots,
        .state = heartbeat.isDraining ? EndpointState::Draining : EndpointState::Ready,
        .incarnation = heartbeat.incarnation,
        .sequence = isOutOfOrder ? this->known->sequence : heartbeat.sequence,
        .coldMs = core::toMilliseconds(heartbeat.coldRemaining),
    };
    if (!isNew && isFinal(this->known->state)) {
        next.state = this->known->state;
    }
    // The remaining cold start and the sequence number change with every heartbeat, so other nodes are notified only of a new state,
    // number of slots or version.
    const bool isSame = this->known && statesSame(next, *this->known);
    if (replacesOther) {
        this->otherDeparture = Deregistration {this->known->id, this->known->incarnation};
    }
    this->known = std::move(next);
    if (isFinal(this->known->state)) {
        // A deregistration has named it before, and its own words say no more.
        this->localState = this->localState == LocalState::LeftUnseen && !isNew ? LocalState::LeftUnseen : LocalState::Leaving;
    } else if (isNew) {
        this->localState = this->isStoreRead ? LocalState::InService : LocalState::Heard;
    }
    if (this->isInDoubt() && this->showsService(now)) {
        this->localState = LocalState::InService;
    }
    return isSame ? UpdateResult::Unchanged : UpdateResult::Changed;
}

UpdateResult LocalEndpoint::applyDeregistration(const Deregistration &deregistration, core::TimePoint now, std::int64_t wallMs)
{
    if (!this->known) {
        this->known = EndpointRecord {};
        this->known->node = this->identity.node;
        this->known->service = this->identity.service;
        this->known->zone = this->identity.zone;
        this->known->id = deregistration.id;
        // The deregistered incarnation started before now and its successor starts later, so the current time separates the two.
        this->known->incarnation = deregistration.incarnation != 0 ? deregistration.incarnation : wallMs;
        this->known->state = EndpointState::Gone;
        this->lastContactAt = now;
        this->localState = LocalState::LeftUnseen;
        return UpdateResult::Changed;
    }
    const bool isOther =
        deregistration.id != this->known->id || (deregistration.incarnation != 0 && deregistration.incarnation != this->known->incarnation);
    if (isOther) {
        const auto incarnation = deregistration.incarnation != 0 ? deregistration.incarnation : wallMs;
        if (deregistration.id == this->known->id && incarnation > this->known->incarnation) {
            // The endpoint has restarted under its id and leaves before its first heartbeat has arrived.
            this->lastContactAt = now;
            this->known->incarnation = incarnation;
            this->known->sequence = 0;
            this->known->state = EndpointState::Gone;
            this->localState = LocalState::Leaving;
            this->heartbeats = 0;
            return UpdateResult::Changed;
        }
        if (deregistration.id != this->known->id) {
            this->otherDeparture = Deregistration {deregistration.id, incarnation};
        }
        return UpdateResult::Stale;
    }
    if (this->known->state == EndpointState::Gone) {
        return UpdateResult::Unchanged;
    }
    this->lastContactAt = now;
    this->known->state = EndpointState::Gone;
    this->localState = LocalState::Leaving;
    return UpdateResult::Changed;
}

UpdateResult LocalEndpoint::applyLeaving(const std::string &id, std::int64_t incarnation) noexcept
{
    if (!this->known || this->known->id != id || this->known->incarnation != incarnation) {
        return UpdateResult::Stale;
    }
    if (isFinal(this->known->state)) {
        return UpdateResult::Unchanged;
    }
    this->known->state = EndpointState::Draining;
    this->localState = LocalState::Leaving;
    return UpdateResult::Changed;
}

bool LocalEndpoint::mergePeerRecord(const EndpointRecord &record, core::TimePoint now)
{
    const bool isKnownBetter = this->known && !this->isRecordOfOther(record.id) && !precedes(*this->known, record);
    if (record.service != this->identity.service || isKnownBetter) {
        return false;
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
    if (isOfThisService && !this->known) {
        this->inherit(*stored);
        this->lastContactAt = now;
        return false;
    }
    if (isOfThisService && (stored->incarnation > this->known->incarnation || this->isRecordOfOther(stored->id))) {
        this->inherit(*stored);
        return false;
    }
    const bool isSameIncarnation = isOfThisService && stored->incarnation == this->known->incarnation && stored->id == this->known->id;
    if (isFirstRead && this->localState == LocalState::Heard) {
        this->localState = isSameIncarnation ? LocalState::Unconfirmed : LocalState::InService;
    }
    if (isSameIncarnation && precedes(*this->known, *stored)) {
        this->known->state = stored->state;
        this->localState = LocalState::Leaving;
        return false;
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

bool LocalEndpoint::needsConfirmation() const noexcept
{
    const bool isPastKnown = this->isStoreRead || this->isInquiryConcluded || this->witnesses >= sufficientWitnesses;
    return this->isInDoubt() && isPastKnown;
}

bool LocalEndpoint::confirm(const std::string &id, core::TimePoint askedAt) noexcept
{
    if (!this->needsConfirmation() || this->known->id != id || askedAt < this->doubtedSince) {
        return false;
    }
    this->localState = LocalState::InService;
    return true;
}

const std::optional<EndpointRecord> &LocalEndpoint::record() const noexcept
{
    return this->known;
}
} // namespace figpulley::discovery
