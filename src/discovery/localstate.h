#pragma once

#include <cstdint>
#include <string_view>

namespace figpulley::discovery
{
/// State of the endpoint on this VM as far as this process can tell. The words of an endpoint are its heartbeats, its deregistration and
/// the departure that it states in a response; each may arrive late, after an earlier process has acknowledged its departure.
///
/// | state | left by | to |
/// | --- | --- | --- |
/// | Unknown | a heartbeat | Heard, or InService if the store shows no earlier word about it |
/// | | a record of the store or of another node | Unconfirmed, or Leaving by what it states |
/// | | a deregistration | LeftUnseen |
/// | LeftUnseen | a word or a record of an endpoint with another id | as from Unknown |
/// | Heard | the store has no record of this incarnation | InService |
/// | | the store or another node has one | Unconfirmed, or Leaving by what it states |
/// | Heard, Unconfirmed | a sign that the endpoint is in service, later than any departure that may be unknown here | InService |
/// | InService | a record of a later incarnation | Unconfirmed, or Leaving by what it states |
/// | any but LeftUnseen | a departure of this incarnation | Leaving |
/// | Leaving | a heartbeat or a record of a later incarnation | as from Unknown |
enum class LocalState : std::uint8_t {
    Unknown, ///< nothing has named an endpoint
    LeftUnseen, ///< only a deregistration has named it, which may come from another writer
    Heard, ///< heartbeats have named it, and the store has not been read
    Unconfirmed, ///< known to an earlier process or to other nodes; its departure may have been acknowledged
    InService, ///< accepts requests
    Leaving, ///< drains or has deregistered; no word of this incarnation changes that
};

/// Name of a state in logs and in the status.
[[nodiscard]] std::string_view name(LocalState state) noexcept;
} // namespace figpulley::discovery
