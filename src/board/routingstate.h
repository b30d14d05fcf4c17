#pragma once

#include "core/ids.h"
#include "core/rank.h"
#include "core/time.h"

#include <cstdint>
#include <unordered_map>

namespace figpulley::board
{
/// This node's own view of one endpoint, from the calls that it made itself.
struct EndpointView
{
    core::Incarnation incarnation {};
    int outstanding = 0;
    double latency = 0; ///< moving average, in seconds; 0 before the first answer
    core::Rank threshold; ///< as last reported
    core::TimePoint thresholdAt {};
    int failuresInRow = 0;
    core::TimePoint pausedUntil {};
    bool isDraining = false; ///< refused a call because it is leaving
};

/// Views by node. Writer: EndpointChooser.
struct RoutingState
{
    std::unordered_map<std::uint64_t, EndpointView> views;
};
} // namespace figpulley::board
