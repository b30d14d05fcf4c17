#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace figpulley::board
{
/// Tokens for retries towards one service.
struct TokenBucket
{
    double tokens = 0;
    core::TimePoint updated {};
    bool isInitialised = false;
};

/// Caps on retries by service. Writer: RetryController.
struct RetryState
{
    std::map<std::string, TokenBucket, std::less<>> buckets;
};
} // namespace figpulley::board
