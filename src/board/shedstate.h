#pragma once

#include "core/time.h"

#include <cstdint>
#include <unordered_map>

namespace figpulley::board
{
/// Shedding threshold estimated from the responses along one path.
struct PathThreshold
{
    double threshold = 0; ///< rank; moving average over responses
    core::TimePoint updated {};
};

/// Thresholds by path; a path is the route of the root call and the called service. Writer: EarlyShedder.
struct ShedState
{
    std::unordered_map<std::uint64_t, PathThreshold> paths; ///< keyed by the hash of route and service
};
} // namespace figpulley::board
