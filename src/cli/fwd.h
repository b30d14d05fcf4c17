#pragma once

/// Forward declarations for the command line.
namespace figpulley::cli
{
struct Command;
class PlatformSession;
} // namespace figpulley::cli
