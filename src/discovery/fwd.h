#pragma once

#include <cstdint>

/// Forward declarations of what is known of endpoints.
namespace figpulley::discovery
{
class Directory;
class LocalEndpoint;
enum class EndpointState : std::uint8_t;
struct Announcement;
struct Departure;
struct EndpointRecord;
} // namespace figpulley::discovery
