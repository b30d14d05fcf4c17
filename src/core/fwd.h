#pragma once

#include <cstdint>

/// Forward declarations of the value types shared by all modules.
namespace figpulley::core
{
enum class ErrorKind : std::uint8_t;
enum class Ran : std::uint8_t;
enum class LogLevel : std::uint8_t;
struct ErrorProperties;
struct CallEnvelope;
struct CallOutcome;
class Rank;
} // namespace figpulley::core
