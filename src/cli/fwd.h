#pragma once

/// Forward declarations of the command line.
namespace figpulley::cli
{
struct Command;
class PlatformSession;
} // namespace figpulley::cli
