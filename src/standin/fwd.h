#pragma once

/// Forward declarations of the stand-ins for the platform and for upstreams.
namespace figpulley::standin
{
class ObjectTable;
class PlatformServer;
class RunLog;
class UpstreamServer;
struct UpstreamOptions;
} // namespace figpulley::standin
