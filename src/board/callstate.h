#pragma once

#include "core/envelope.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace figpulley::board
{
/// A call in this node's egress: a client's root call, or a nested call of the upstream.
struct CallState
{
    std::string service;
    std::string route; ///< of the root
    std::uint64_t root = 0;
    core::Rank rank;
    core::TimePoint deadline {};
    bool isIdempotent = false;
    bool isNested = false;
    std::optional<core::EntryId> parent; ///< whose retry budget is drawn on; none for a root call
    int ownBudget = 0; ///< of a root call
    int spent = 0; ///< retries known or presumed to be spent on behalf of this call
    int attempts = 0;
    core::Ran earlierAttempts = core::Ran::No; ///< Unknown once any attempt may have run

    bool isInFlight = false; ///< an attempt was sent and has not ended
    core::AttemptId attempt {}; ///< the last one sent
    core::NodeId node {};
    int lent = 0;
    core::TimePoint sentAt {};
    std::vector<core::NodeId> tried;
};

/// Calls by id. Writer: CallController.
struct CallTable
{
    std::unordered_map<std::uint64_t, CallState> calls;
};
} // namespace figpulley::board
