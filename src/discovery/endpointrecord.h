#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::discovery
{
/// Where an endpoint is in its life.
enum class EndpointState : std::uint8_t {
    Ready,
    Draining, ///< it announced that it leaves; final for its incarnation
    Gone, ///< it has deregistered; final for its incarnation
    Silent, ///< its heartbeats have stopped; it may come back
};

/// Name of a state in records and logs.
[[nodiscard]] std::string_view name(EndpointState state) noexcept;

/// Whether an endpoint in this state may get new requests.
[[nodiscard]] constexpr bool takesRequests(EndpointState state) noexcept
{
    return state == EndpointState::Ready;
}

/// Whether no heartbeat of the same incarnation leads out of this state.
[[nodiscard]] constexpr bool isFinal(EndpointState state) noexcept
{
    return state == EndpointState::Draining || state == EndpointState::Gone;
}

/// What the node beside an endpoint has recorded of it; kept in the object store under the node's name.
struct EndpointRecord
{
    std::string node; ///< ip:port of the node's ingress
    std::string id;
    std::string service;
    std::string zone;
    std::string version;
    int slots = 0;
    EndpointState state = EndpointState::Ready;
    std::int64_t incarnation = 0; ///< Unix milliseconds of the endpoint's start
    std::int64_t sequence = 0; ///< of the heartbeat that led to this record
    std::int64_t coldMs = 0; ///< how much longer the endpoint was slow when the record was made

    [[nodiscard]] bool operator==(const EndpointRecord &) const = default;
};

/// Writes a record as JSON.
[[nodiscard]] std::string encode(const EndpointRecord &record);

/// Reads a record.
/// @param text from the store; anybody may have written it
/// @returns nothing if a field is missing, of another type or out of range
[[nodiscard]] std::optional<EndpointRecord> decodeEndpointRecord(std::string_view text);
} // namespace figpulley::discovery
