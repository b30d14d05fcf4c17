#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <unordered_set>

namespace figpulley::board
{
/// An attempt id and its expiry time.
struct RememberedAttempt
{
    std::uint64_t id = 0;
    core::TimePoint expiresAt {};
};

/// Ids of attempts that must not run again on this node. Writer: AttemptTable.
struct AttemptState
{
    std::unordered_set<std::uint64_t> ids;
    std::deque<RememberedAttempt> order; ///< ids in order of arrival
};
} // namespace figpulley::board
