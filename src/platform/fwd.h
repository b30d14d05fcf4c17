#pragma once

/// Forward declarations of the platform adapter.
namespace figpulley::platform
{
class PlatformStore;
class PlatformWireFormat;
} // namespace figpulley::platform
