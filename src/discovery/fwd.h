#pragma once

#include <cstdint>

/// Forward declarations of the discovery module.
namespace figpulley::discovery
{
class DepartureList;
class Directory;
class LocalEndpoint;
enum class EndpointState : std::uint8_t;
enum class LocalState : std::uint8_t;
struct Departure;
struct Heartbeat;
struct Deregistration;
struct EndpointRecord;
} // namespace figpulley::discovery
