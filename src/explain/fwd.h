#pragma once

/// Forward declarations of what logs tell about one request.
namespace figpulley::explain
{
struct LogLine;
struct RequestStory;
} // namespace figpulley::explain
