#pragma once

#include "core/time.h"
#include "discovery/endpointrecord.h"
#include "discovery/heartbeat.h"
#include "discovery/localstate.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace figpulley::discovery
{
/// Longest time by which a heartbeat arrives late.
inline constexpr core::Duration maxHeartbeatDelay = std::chrono::seconds(10);

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

/// State of the endpoint on this VM, derived from its heartbeats, the stored record and what other nodes know. Decides whether new requests
/// may reach the endpoint: once a departure is acknowledged, it receives none, even after delayed heartbeats or a restart of the node.
/// Neither a record of an earlier process nor a number of heartbeats opens it by itself, since all of them may be older than a departure
/// that the earlier process has acknowledged.
class LocalEndpoint
{
public:
    LocalEndpoint() = default;

    /// @param startedAt start of this process; what an earlier process has acknowledged was acknowledged before
    LocalEndpoint(LocalIdentity identity, core::TimePoint startedAt);

    /// Applies a heartbeat.
    [[nodiscard]] UpdateResult applyHeartbeat(const Heartbeat &heartbeat, core::TimePoint now);

    /// Applies a deregistration.
    /// @param wallMs current Unix milliseconds; used as the incarnation if neither the deregistration nor a heartbeat has given one
    [[nodiscard]] UpdateResult applyDeregistration(const Deregistration &deregistration, core::TimePoint now, std::int64_t wallMs);

    /// Applies a response of the endpoint that states that it is leaving. It is final for the incarnation, as a draining heartbeat is.
    [[nodiscard]] UpdateResult applyLeaving(const std::string &id, std::int64_t incarnation, core::TimePoint now) noexcept;

    /// Merges the record that other nodes know. It may be newer than the stored one if the store was restored or is unavailable.
    /// @returns whether the record in memory has changed
    [[nodiscard]] bool mergePeerRecord(const EndpointRecord &record, core::TimePoint now);

    /// Merges the record that an earlier process of this node wrote to the store.
    /// @param stored the stored record, or nothing if the store has none
    /// @returns whether the record in memory is newer and must be written to the store
    [[nodiscard]] bool mergeStoredRecord(const std::optional<EndpointRecord> &stored, core::TimePoint now);

    /// Takes over how many other nodes have answered that would know a departure which an earlier process of this node has acknowledged.
    /// Their records must be merged before.
    void setWitnesses(std::size_t count) noexcept;

    /// Takes over that other nodes were asked, or that none is there to ask. Before that, or before the stored record was read, a sign of
    /// the endpoint does not open it, unless there are enough witnesses.
    void concludeInquiry() noexcept;

    /// Whether only a sign of the endpoint itself is missing before it accepts requests.
    [[nodiscard]] bool needsConfirmation() const noexcept;

    /// Confirms that an endpoint is in service, as it has stated itself.
    /// @param askedAt time at which it was asked
    /// @returns Changed if the record has changed, Unchanged if only the state, Stale if the statement does not count
    [[nodiscard]] UpdateResult confirm(const std::string &id, core::TimePoint askedAt);

    /// Marks a ready endpoint as silent if its last heartbeat is too old.
    /// @param timeout age of the last heartbeat beyond which the endpoint counts as silent
    /// @returns whether the record has changed
    [[nodiscard]] bool checkHeartbeatTimeout(core::Duration timeout, core::TimePoint now);

    /// Whether new requests may reach the endpoint now.
    [[nodiscard]] bool acceptsRequests() const noexcept;

    [[nodiscard]] LocalState state() const noexcept;

    /// Whether the store shows that no earlier process of this node has had an endpoint.
    [[nodiscard]] bool isFirstProcess() const noexcept;

    /// Current record; nothing before the first heartbeat, deregistration or stored record.
    [[nodiscard]] const std::optional<EndpointRecord> &record() const noexcept;

private:
    /// How the incarnation that a word names relates to the one in the record.
    enum class Relation : std::uint8_t {
        Same,
        Later,
        Departed, ///< another one whose departure is known
        Unclear, ///< started earlier: it is an earlier one, or the clock has stepped back before its start
    };

    /// An incarnation of unclear relation that has sent a ready heartbeat.
    struct Rival
    {
        EndpointRecord record;
        core::TimePoint heardAt {}; ///< time of its first heartbeat since the last one of the incarnation in the record
        core::TimePoint lastHeardAt {};
    };

    [[nodiscard]] Relation relationOf(const std::string &id, std::int64_t startedMs) const noexcept;
    [[nodiscard]] bool isRecordOfOther(const std::string &id) const noexcept;
    [[nodiscard]] bool isInDoubt() const noexcept;
    [[nodiscard]] bool mayBeShownByHealth(const Rival &other) const noexcept;
    [[nodiscard]] bool showsService(core::TimePoint heardAt) const noexcept;
    [[nodiscard]] bool hasRecentDeparture(const std::string &id, core::TimePoint now) const noexcept;
    [[nodiscard]] LocalState stateOfNew(core::TimePoint heardAt) const noexcept;
    [[nodiscard]] EndpointRecord recordOf(const Heartbeat &heartbeat) const;
    [[nodiscard]] UpdateResult applyPresentHeartbeat(const Heartbeat &heartbeat, core::TimePoint now);
    [[nodiscard]] UpdateResult applyUnclearHeartbeat(const Heartbeat &heartbeat, core::TimePoint now);
    [[nodiscard]] UpdateResult rememberDeparture(Departure departure, core::TimePoint now);
    void applyKnownDeparture() noexcept;
    void adopt(EndpointRecord next, LocalState state, core::TimePoint now);
    void replaceRecord(EndpointRecord next, core::TimePoint now);
    void inherit(EndpointRecord record);

    LocalIdentity identity;
    LocalState localState = LocalState::Unknown;
    std::optional<EndpointRecord> known;
    std::optional<Rival> rival;
    core::TimePoint lastContactAt {};
    core::TimePoint startedAt {};
    core::TimePoint doubtedSince {}; // departures from before may be unknown or unclear
    core::TimePoint settledAt {}; // since when the record names its incarnation, or the latest departure
    std::size_t witnesses = 0;
    int heartbeats = 0; // of the incarnation in the record, in this process
    bool isStoreRead = false;
    bool hasEarlierProcess = false; // the store had a record before this process wrote one
    bool isInquiryConcluded = false;
};
} // namespace figpulley::discovery
