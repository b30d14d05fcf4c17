#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace figpulley::discovery
{
/// Heartbeat of an endpoint.
struct Heartbeat
{
    std::string id; ///< identifier of the endpoint; a later incarnation may have the same one
    std::string service;
    std::string address; ///< ip:port on which the endpoint accepts requests
    std::string zone;
    std::string version; ///< version of the endpoint's software
    int slots = 0; ///< number of requests that the endpoint processes concurrently
    bool isDraining = false;
    core::Duration coldRemaining {}; ///< remaining time of the endpoint's cold start, during which it is slow
    std::int64_t sequence = 0; ///< increases with each heartbeat of an incarnation
    std::int64_t incarnation = 0; ///< Unix milliseconds of the endpoint's start; 0 if the heartbeat does not give it
};

/// Deregistration of an endpoint: it accepts no new requests and exits.
struct Deregistration
{
    std::string id;
    std::int64_t incarnation = 0; ///< incarnation as in the heartbeats; 0 if the deregistration does not give it
};
} // namespace figpulley::discovery
