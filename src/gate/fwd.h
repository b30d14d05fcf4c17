#pragma once

/// Forward declarations of the admission control in front of one endpoint.
namespace figpulley::gate
{
class RateLimiter;
class SlotQueue;
class StatedLimit;
struct QueuedRequest;
struct SlotDecision;
} // namespace figpulley::gate
