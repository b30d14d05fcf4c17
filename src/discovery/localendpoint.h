#pragma once

#include "core/time.h"
#include "discovery/announcement.h"
#include "discovery/endpointrecord.h"

#include <optional>
#include <string>

namespace figpulley::discovery
{
/// Who the node is that stands beside the endpoint.
struct LocalIdentity
{
    std::string node; ///< ip:port of the ingress
    std::string service; ///< that the settings name for this VM
    std::string zone;
};

/// What a heartbeat or a departure changed.
enum class Hearing : std::uint8_t {
    Unchanged, ///< known already
    Changed, ///< the record is new and has to be written
    Stale, ///< from an earlier incarnation, or overtaken by a later heartbeat
    Foreign, ///< names another service than this VM's
};

/// The endpoint on this VM, as its heartbeats and the stored record tell. It decides whether new requests may reach the endpoint:
/// an endpoint whose departure was acknowledged gets none, whatever arrives late and whoever restarts.
class LocalEndpoint
{
public:
    LocalEndpoint() = default;
    explicit LocalEndpoint(LocalIdentity identity);

    /// A heartbeat has arrived.
    [[nodiscard]] Hearing hear(const Announcement &announcement, core::TimePoint now);

    /// The endpoint has deregistered.
    /// @param wallMs Unix milliseconds; stands for the incarnation where the departure tells none and no heartbeat was heard
    [[nodiscard]] Hearing leave(const Departure &departure, core::TimePoint now, std::int64_t wallMs);

    /// The record that an earlier process of this node left in the store, or that there is none.
    /// @returns whether the record in memory is newer and has to be written
    [[nodiscard]] bool adopt(const std::optional<EndpointRecord> &stored, core::TimePoint now);

    /// Notes heartbeats that stay away.
    /// @param patience silence after which the endpoint counts as silent
    /// @returns whether the record has changed
    [[nodiscard]] bool checkSilence(core::Duration patience, core::TimePoint now);

    /// Whether new requests may reach the endpoint now.
    [[nodiscard]] bool isOpen() const noexcept;

    /// What is known; nothing before the first heartbeat or stored record.
    [[nodiscard]] const std::optional<EndpointRecord> &record() const noexcept;

private:
    [[nodiscard]] bool isNewIncarnation(const std::string &id, std::int64_t incarnation) const noexcept;

    LocalIdentity identity;
    std::optional<EndpointRecord> known;
    core::TimePoint heardAt {};
    bool isStoreRead = false;
    int heartbeatsSinceStart = 0;
};
} // namespace figpulley::discovery
