#pragma once

/// Forward declarations for tracing one request through the logs of the nodes.
namespace figpulley::explain
{
struct LogLine;
struct RequestTrace;
} // namespace figpulley::explain
