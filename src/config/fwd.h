#pragma once

#include <cstdint>

/// Forward declarations for the operators' files.
namespace figpulley::config
{
enum class FileKind : std::uint8_t;
enum class LimitAlgorithm : std::uint8_t;
struct Configuration;
struct OverloadPolicy;
struct RequestPriorities;
struct Route;
struct ServicePolicy;
struct SourceFile;
} // namespace figpulley::config
