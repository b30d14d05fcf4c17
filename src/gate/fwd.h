#pragma once

/// Forward declarations of the admission to one endpoint.
namespace figpulley::gate
{
class SlotQueue;
struct QueuedRequest;
struct SlotDecision;
} // namespace figpulley::gate
