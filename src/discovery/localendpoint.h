#pragma once

#include "core/time.h"
#include "discovery/endpointrecord.h"
#include "discovery/heartbeat.h"

#include <optional>
#include <string>

namespace figpulley::discovery
{
/// Identity of the node that runs on the endpoint's VM.
struct LocalIdentity
{
    std::string node; ///< ip:port of the node's ingress
    std::string service; ///< service of this VM according to the settings
    std::string address; ///< ip:port of the endpoint according to the settings
    std::string zone;
};

/// Effect of a heartbeat or a deregistration on the endpoint's record.
enum class UpdateResult : std::uint8_t {
    Unchanged, ///< nothing that must be written to the store has changed
    Changed, ///< the record has changed and must be written to the store
    Stale, ///< ignored: it belongs to another incarnation, or a later heartbeat has arrived before it
    Foreign, ///< ignored: it names another service or address than this VM's
};

/// State of the endpoint on this VM, derived from its heartbeats and the stored record. Decides whether new requests may reach the
/// endpoint: once a deregistration is acknowledged, it receives none, even after delayed heartbeats or a restart of the node. A record
/// that an earlier process has left does not open it by itself, since that process may have acknowledged a departure that it could not
/// store: the endpoint has to show that it is in service.
class LocalEndpoint
{
public:
    LocalEndpoint() = default;
    explicit LocalEndpoint(LocalIdentity identity);

    /// Applies a heartbeat.
    [[nodiscard]] UpdateResult applyHeartbeat(const Heartbeat &heartbeat, core::TimePoint now);

    /// Applies a deregistration.
    /// @param wallMs current Unix milliseconds; used as the incarnation if neither the deregistration nor a heartbeat has given one
    [[nodiscard]] UpdateResult applyDeregistration(const Deregistration &deregistration, core::TimePoint now, std::int64_t wallMs);

    /// Applies a response of the endpoint that states that it is leaving. It is final for the incarnation, as a draining heartbeat is.
    [[nodiscard]] UpdateResult applyLeaving(const std::string &id, std::int64_t incarnation) noexcept;

    /// Merges the record that other nodes know. It may be newer than the stored one if the store was restored.
    /// @returns whether the record in memory has changed
    [[nodiscard]] bool mergePeerRecord(const EndpointRecord &record, core::TimePoint now);

    /// Merges the record that an earlier process of this node wrote to the store.
    /// @param stored the stored record, or nothing if the store has none
    /// @returns whether the record in memory is newer and must be written to the store
    [[nodiscard]] bool mergeStoredRecord(const std::optional<EndpointRecord> &stored, core::TimePoint now);

    /// Whether only a sign of the endpoint itself is missing before it accepts requests.
    [[nodiscard]] bool needsConfirmation() const noexcept;

    /// Confirms that an endpoint is in service, as it has stated itself since this process started.
    /// @returns whether the endpoint accepts requests for the first time
    bool confirm(const std::string &id) noexcept;

    /// Marks a ready endpoint as silent if its last heartbeat is too old.
    /// @param timeout age of the last heartbeat beyond which the endpoint counts as silent
    /// @returns whether the record has changed
    [[nodiscard]] bool checkHeartbeatTimeout(core::Duration timeout, core::TimePoint now);

    /// Whether new requests may reach the endpoint now.
    [[nodiscard]] bool acceptsRequests() const noexcept;

    /// Current record; nothing before the first heartbeat, deregistration or stored record.
    [[nodiscard]] const std::optional<EndpointRecord> &record() const noexcept;

private:
    [[nodiscard]] bool isAlive() const noexcept;
    [[nodiscard]] bool isNewIncarnation(const std::string &id, std::int64_t incarnation) const noexcept;
    [[nodiscard]] bool hasDeparted(const Heartbeat &heartbeat) const noexcept;
    [[nodiscard]] bool isRecordOfOther(const std::string &id) const noexcept;
    void inherit(const EndpointRecord &record);

    LocalIdentity identity;
    std::optional<EndpointRecord> known;
    std::optional<Deregistration> otherDeparture; // departure of an incarnation that is not the one in the record
    core::TimePoint lastContactAt {};
    bool isStoreRead = false;
    bool isInherited = false; // the incarnation was known to an earlier process of this node or to other nodes
    bool isConfirmed = false;
    bool isFromDeregistration = false; // nothing but a deregistration has named the endpoint of the record
    int heartbeatsSinceStart = 0;
};
} // namespace figpulley::discovery
