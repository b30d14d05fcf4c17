#pragma once

#include "discovery/departurelist.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::discovery
{
/// Largest numbers of a valid record. Larger ones can only be errors of the writer, and a false incarnation would hide all later ones.
inline constexpr std::int64_t maxSlots = 1'000'000;
inline constexpr std::int64_t maxIncarnation = 253'402'300'799'999; ///< Unix milliseconds of the end of the year 9999
inline constexpr std::int64_t maxColdMs = 24LL * 3600 * 1000;

/// Longest text in a record, in bytes.
inline constexpr std::size_t maxTextBytes = 1024;

/// Longest encoded record, in bytes. A longer one is of another writer.
inline constexpr std::size_t maxRecordBytes = 64UL * 1024UL;
inline constexpr std::size_t maxEarlier = 4; ///< most earlier incarnations in a record
static_assert((6 + maxEarlier) * 6 * maxTextBytes < maxRecordBytes,
              "a record of texts of only control characters, six bytes each, is valid");

/// Lifecycle state of an endpoint.
enum class EndpointState : std::uint8_t {
    Ready,
    Draining, ///< the endpoint announced that it drains; final for its incarnation
    Gone, ///< the endpoint has deregistered; final for its incarnation
    Silent, ///< the endpoint's heartbeats have stopped; the next one makes it ready again
};

/// Name of a state in records and logs.
[[nodiscard]] std::string_view name(EndpointState state) noexcept;

/// Returns the state with a name; nothing if there is none.
[[nodiscard]] std::optional<EndpointState> endpointStateFromName(std::string_view name) noexcept;

/// Whether an endpoint in this state may receive new requests.
[[nodiscard]] constexpr bool acceptsRequests(EndpointState state) noexcept
{
    return state == EndpointState::Ready;
}

/// Whether no heartbeat of the same incarnation can make the endpoint ready again.
[[nodiscard]] constexpr bool isFinal(EndpointState state) noexcept
{
    return state == EndpointState::Draining || state == EndpointState::Gone;
}

/// Record of an endpoint, written by the node on the same VM and kept in the object store under the node's name.
struct EndpointRecord
{
    std::string node; ///< ip:port of the node's ingress
    std::string id;
    std::string service;
    std::string zone;
    std::string version;
    int slots = 0;
    EndpointState state = EndpointState::Ready;
    std::int64_t incarnation = 0; ///< grows with each incarnation; its start time unless the clock has stepped back since an earlier one
    std::int64_t startedMs = 0; ///< Unix milliseconds of the start that the endpoint states
    std::int64_t sequence = 0; ///< sequence number of the heartbeat that caused this record
    std::int64_t coldMs = 0; ///< milliseconds of cold start that remained when the record was made
    DepartureList departed {}; ///< departures of other incarnations, of which late words may arrive

    [[nodiscard]] bool operator==(const EndpointRecord &) const = default;
};

/// Whether a record is older than another one by what the endpoint's node itself counts: it is of an earlier incarnation, or of the same
/// incarnation before the state that the other one has reached for good. This order holds whatever revisions the store gives.
[[nodiscard]] bool precedes(const EndpointRecord &earlier, const EndpointRecord &later) noexcept;

/// Whether two records state the same of an endpoint. The sequence number and the remaining cold start change with every heartbeat and do
/// not count.
[[nodiscard]] bool statesSame(const EndpointRecord &left, const EndpointRecord &right) noexcept;

/// Encodes a record as JSON.
[[nodiscard]] std::string encode(const EndpointRecord &record);

/// Decodes a record.
/// @param text content of the object in the store; other writers may have changed it
/// @returns the record, or nothing if a field is missing, of another type or out of range
[[nodiscard]] std::optional<EndpointRecord> decodeEndpointRecord(std::string_view text);
} // namespace figpulley::discovery
