#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace figpulley::discovery
{
/// A heartbeat of an endpoint.
struct Announcement
{
    std::string id; ///< of the endpoint; may be used again by a later incarnation
    std::string service;
    std::string address; ///< ip:port where the endpoint serves
    std::string zone;
    std::string version; ///< of the endpoint's software
    int slots = 0; ///< requests that it processes at once
    bool isDraining = false;
    core::Duration coldFor {}; ///< how much longer it is slow after its start
    std::int64_t sequence = 0; ///< raised with each heartbeat of an incarnation
    std::int64_t incarnation = 0; ///< Unix milliseconds of the endpoint's start; 0: not told
};

/// The last word of an endpoint: it takes no new requests and will exit.
struct Departure
{
    std::string id;
    std::int64_t incarnation = 0; ///< as in its heartbeats; 0: not told
};
} // namespace figpulley::discovery
