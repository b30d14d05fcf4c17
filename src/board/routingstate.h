#pragma once

#include "core/ids.h"
#include "core/rank.h"
#include "core/time.h"

#include <cstdint>
#include <unordered_map>

namespace figpulley::board
{
/// Measurements of one endpoint, taken from the calls that this node sent to it.
struct EndpointView
{
    core::Incarnation incarnation {};
    int outstanding = 0; ///< attempts in progress
    double latency = 0; ///< moving average of the latency, in seconds; 0 before the first response
    core::Rank threshold; ///< shedding threshold as last reported by the endpoint
    core::TimePoint thresholdAt {}; ///< time of that report
    int consecutiveFailures = 0;
    core::TimePoint pausedUntil {}; ///< end of the pause after consecutive failures (outlier ejection)
    bool isDraining = false; ///< whether it refused a call because it is leaving
};

/// Endpoint measurements by node. Writer: EndpointChooser.
struct RoutingState
{
    std::unordered_map<std::uint64_t, EndpointView> views;
};
} // namespace figpulley::board
