#pragma once

#include <cstdint>

/// Forward declarations of the routing module: routes, endpoint choice and retries.
namespace figpulley::routing
{
class AttemptPlan;
class EndpointPicker;
class ClientTimeoutHistory;
class RetryBudget;
class RouteTable;
class SplitPicker;
enum class RequestKind : std::uint8_t;
struct EndpointCondition;
struct Route;
struct RouteSet;
struct WeightedService;
} // namespace figpulley::routing
