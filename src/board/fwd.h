#pragma once

/// Forward declarations of the blackboard.
namespace figpulley::board
{
struct AdmissionState;
struct AttemptState;
struct Blackboard;
struct CallState;
struct CallTable;
struct ConfigState;
struct DrainState;
struct Endpoint;
struct EndpointState;
struct LedgerState;
struct MembershipState;
struct NodeIdentity;
struct RetryState;
struct RoutingState;
struct ShedState;
} // namespace figpulley::board
