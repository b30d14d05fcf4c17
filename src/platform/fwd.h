#pragma once

/// Forward declarations of the platform adapter.
namespace figpulley::platform
{
class PlatformStore;
class PlatformWire;
} // namespace figpulley::platform
