#pragma once

/// Forward declarations of the admission control in front of one endpoint.
namespace figpulley::gate
{
class SlotQueue;
struct QueuedRequest;
struct SlotDecision;
} // namespace figpulley::gate
