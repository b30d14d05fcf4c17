#pragma once

/// Forward declarations of the adapter to the users' platform.
namespace figpulley::platform
{
class PlatformStore;
class PlatformWire;
} // namespace figpulley::platform
