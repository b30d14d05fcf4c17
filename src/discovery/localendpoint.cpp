#include "discovery/localendpoint.h"

#include <utility>

namespace figpulley::discovery
{
namespace
{
// Heartbeats that confirm an endpoint which an earlier process of this node may have known. A single one may be a delayed heartbeat, sent
// before a deregistration that the earlier process acknowledged; two in a row cannot both be.
constexpr int confirmingHeartbeats = 2;
} // namespace

LocalEndpoint::LocalEndpoint(LocalIdentity identity)
    : identity(std::move(identity))
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

bool LocalEndpoint::isAlive() const noexcept
{
    return this->known && !isFinal(this->known->state);
}

bool LocalEndpoint::hasDeparted(const Heartbeat &heartbeat) const noexcept
{
    return this->otherDeparture && heartbeat.id == this->otherDeparture->id && heartbeat.incarnation <= this->otherDeparture->incarnation;
}

// The record of an endpoint that only a deregistration has named says nothing about an endpoint with another id: the call may come from
// another writer.
bool LocalEndpoint::isRecordOfOther(const std::string &id) const noexcept
{
    return this->known && this->isFromDeregistration && this->known->id != id;
}

void LocalEndpoint::inherit(const EndpointRecord &record)
{
    if (this->isRecordOfOther(record.id)) {
        this->otherDeparture = Deregistration {this->known->id, this->known->incarnation};
    }
    this->known = record;
    this->known->node = this->identity.node;
    this->isInherited = true;
    this->isConfirmed = false;
    this->isFromDeregistration = false;
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
    if (!isNew && heartbeat.sequence <= this->known->sequence && this->heartbeatsSinceStart > 0) {
        return UpdateResult::Stale;
    }
    this->lastContactAt = now;
    ++this->heartbeatsSinceStart;
    EndpointRecord next {
        .node = this->identity.node,
        .id = heartbeat.id,
        .service = heartbeat.service,
        .zone = this->identity.zone,
        .version = heartbeat.version,
        .slots = heartbeat.slots,
        .state = heartbeat.isDraining ? EndpointState::Draining : EndpointState::Ready,
        .incarnation = heartbeat.incarnation,
        .sequence = heartbeat.sequence,
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
    this->isInherited = this->isInherited && !isNew;
    this->isFromDeregistration = this->isFromDeregistration && !isNew;
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
        this->isFromDeregistration = true;
        return UpdateResult::Changed;
    }
    const bool isOther =
        deregistration.id != this->known->id || (deregistration.incarnation != 0 && deregistration.incarnation != this->known->incarnation);
    if (isOther) {
        const auto incarnation = deregistration.incarnation != 0 ? deregistration.incarnation : wallMs;
        if (deregistration.id != this->known->id || incarnation > this->known->incarnation) {
            this->otherDeparture = Deregistration {deregistration.id, incarnation};
        }
        return UpdateResult::Stale;
    }
    if (this->known->state == EndpointState::Gone) {
        return UpdateResult::Unchanged;
    }
    this->lastContactAt = now;
    this->known->state = EndpointState::Gone;
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
    if (!stored || stored->service != this->identity.service) {
        return this->known.has_value();
    }
    if (!this->known) {
        this->inherit(*stored);
        this->lastContactAt = now;
        return false;
    }
    if (stored->incarnation > this->known->incarnation || this->isRecordOfOther(stored->id)) {
        this->inherit(*stored);
        return false;
    }
    const bool isSameIncarnation = stored->incarnation == this->known->incarnation && stored->id == this->known->id;
    this->isInherited = this->isInherited || (isFirstRead && isSameIncarnation);
    if (isSameIncarnation && precedes(*this->known, *stored)) {
        this->known->state = stored->state;
        return false;
    }
    return !statesSame(*stored, *this->known);
}

bool LocalEndpoint::checkHeartbeatTimeout(core::Duration timeout, core::TimePoint now)
{
    const bool isSilent = this->known && this->known->state == EndpointState::Ready && now - this->lastContactAt > timeout;
    if (isSilent) {
        this->known->state = EndpointState::Silent;
    }
    return isSilent;
}

bool LocalEndpoint::acceptsRequests() const noexcept
{
    // Missing heartbeats alone do not stop requests: heartbeats may be delayed while the endpoint serves.
    const bool isShownAlive = this->isConfirmed || !this->isInherited;
    return this->isAlive() && ((this->isStoreRead && isShownAlive) || this->heartbeatsSinceStart >= confirmingHeartbeats);
}

bool LocalEndpoint::needsConfirmation() const noexcept
{
    return this->isAlive() && this->isStoreRead && !this->acceptsRequests();
}

bool LocalEndpoint::confirm(const std::string &id) noexcept
{
    if (!this->needsConfirmation() || this->known->id != id) {
        return false;
    }
    this->isConfirmed = true;
    return true;
}

const std::optional<EndpointRecord> &LocalEndpoint::record() const noexcept
{
    return this->known;
}
} // namespace figpulley::discovery
