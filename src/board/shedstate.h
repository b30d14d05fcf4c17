#pragma once

#include "core/time.h"

#include <cstdint>
#include <unordered_map>

namespace figpulley::board
{
/// Threshold learnt from the answers along one path.
struct PathThreshold
{
    double threshold = 0; ///< rank; moving average over answers
    core::TimePoint updated {};
};

/// Thresholds by path, that is root route and service called. Writer: EarlyShedder.
struct ShedState
{
    std::unordered_map<std::uint64_t, PathThreshold> paths; ///< key: hash of route and service
};
} // namespace figpulley::board
