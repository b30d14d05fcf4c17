#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <unordered_set>

namespace figpulley::board
{
/// An attempt id and the instant after which it may be forgotten.
struct RememberedAttempt
{
    std::uint64_t id = 0;
    core::TimePoint forgetAt {};
};

/// Attempts that must not run again here. Writer: AttemptTable.
struct AttemptState
{
    std::unordered_set<std::uint64_t> ids;
    std::deque<RememberedAttempt> order; ///< by arrival
};
} // namespace figpulley::board
