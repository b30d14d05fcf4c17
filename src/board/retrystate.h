#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace figpulley::board
{
/// Token bucket that limits the retries to one service.
struct TokenBucket
{
    double tokens = 0;
    core::TimePoint updated {};
    bool isInitialised = false;
};

/// Retry limits by service. Writer: RetryController.
struct RetryState
{
    std::map<std::string, TokenBucket, std::less<>> buckets;
};
} // namespace figpulley::board
