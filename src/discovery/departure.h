#pragma once

#include "discovery/endpointrecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::discovery
{
/// That an incarnation of an endpoint drains or is gone, as its node tells it to other nodes.
struct Departure
{
    std::string node; ///< ip:port of the node's ingress
    std::string id;
    std::string service;
    std::int64_t incarnation = 0;
    EndpointState state = EndpointState::Gone;

    [[nodiscard]] bool operator==(const Departure &) const = default;
};

/// Encodes a departure as a header value.
[[nodiscard]] std::string encode(const Departure &departure);

/// Decodes a header of an untrusted peer; returns nothing if it is malformed or states no departure.
[[nodiscard]] std::optional<Departure> decodeDeparture(std::string_view text);
} // namespace figpulley::discovery
