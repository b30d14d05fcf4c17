#pragma once

#include "core/random.h"
#include "core/time.h"
#include "discovery/directory.h"
#include "routing/endpointcondition.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figpulley::routing
{
/// Load of an endpoint, as last reported by the node on its VM.
struct EndpointLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;

    [[nodiscard]] bool operator==(const EndpointLoad &) const = default;
};

/// Outcome of an attempt at an endpoint, as far as it affects the choice of later endpoints.
enum class AttemptOutcome : std::uint8_t {
    Served, ///< the endpoint responded without a fault of its own
    Failed, ///< the endpoint failed, or its response was lost
    Full, ///< the endpoint has no capacity for a request of this priority
    Leaving, ///< the endpoint accepts no new requests
    Unreachable, ///< the node of the endpoint could not be reached
    Cancelled, ///< the caller disconnected; no statement about the endpoint
};

/// Returns the name of an outcome for logs.
[[nodiscard]] std::string_view name(AttemptOutcome outcome) noexcept;

/// Constraints on the choice of an endpoint.
struct PickRequest
{
    std::string_view service;
    std::string_view zone; ///< zone of the caller; its endpoints are preferred
    const std::vector<std::string> *tried = nullptr; ///< nodes that are excluded; null for none
    core::TimePoint now {};
};

/// Chooses the endpoint of a service with the lowest cost: its occupancy, plus penalties for another zone, a cold start and recent
/// failures. The caller's zone is therefore preferred until its endpoints are fuller than others by the penalty. An endpoint with a rate
/// limit is also full when its limit is used up. Endpoints that leave or are unreachable are suspended for a while, and chosen only if all
/// others are excluded or suspended too. An incarnation that states that it is leaving is never chosen again.
class EndpointPicker
{
public:
    /// @returns null if no endpoint is left
    [[nodiscard]] const discovery::KnownEndpoint *pick(const discovery::Directory &directory, const PickRequest &request,
                                                       core::Random &random) const;

    /// Records that an attempt was sent to a node.
    void recordSent(const std::string &node);

    /// Records the outcome of an attempt.
    /// @param load load that the node reported in its response, if any
    void recordOutcome(const std::string &node, AttemptOutcome outcome, const std::optional<EndpointLoad> &load, core::TimePoint now);

    /// Records what a node reports about its endpoint. A departure is final for the incarnation.
    /// @param condition nothing if the endpoint has responded and states neither a limit nor a departure
    /// @returns whether its limit or its departure has changed
    bool recordCondition(const std::string &node, const std::optional<EndpointCondition> &condition, core::TimePoint now);

    /// Condition of an endpoint that was reported last, of the incarnation in the directory or a later one; null if none was reported.
    [[nodiscard]] const EndpointCondition *knownCondition(const discovery::KnownEndpoint &endpoint) const;

    /// Estimates the occupancy of an endpoint; 1 means that all its slots are taken or that its rate limit is used up.
    [[nodiscard]] double occupancy(const discovery::KnownEndpoint &endpoint, core::TimePoint now) const;

    /// Whether attempts to the node are suspended, since it was unreachable or is leaving.
    [[nodiscard]] bool isSuspended(const std::string &node, core::TimePoint now) const;

private:
    struct EndpointStats
    {
        int outstanding = 0;
        EndpointLoad load;
        int outstandingAtReport = 0;
        core::TimePoint reportedAt {};
        double failureRate = 0; // moving average of failed attempts, 0 to 1
        core::TimePoint failureRateUpdated {};
        int consecutiveUnreachable = 0;
        core::TimePoint suspendedUntil {};
        EndpointCondition condition; // as of conditionUpdated
        core::TimePoint conditionUpdated {};
    };

    std::unordered_map<std::string, EndpointStats> stats;
};
} // namespace figpulley::routing
