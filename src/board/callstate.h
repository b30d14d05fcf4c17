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
    std::string route; ///< route of the root call
    std::uint64_t root = 0; ///< id of the root call
    core::Rank rank;
    core::TimePoint deadline {};
    bool isIdempotent = false;
    bool isNested = false;
    std::optional<core::EntryId> parent; ///< ledger entry that provides the retry budget; none for a root call
    int ownRetryBudget = 0; ///< remaining retry budget of a root call; 0 for a nested call
    int retriesSpent = 0; ///< retries known or presumed to have been used for this call
    int attempts = 0;
    core::Ran earlierAttempts = core::Ran::No; ///< whether earlier attempts ran; Unknown once any of them may have run

    bool isInFlight = false; ///< whether an attempt was sent and has not ended
    core::AttemptId attempt {}; ///< id of the last attempt sent
    core::NodeId node {}; ///< destination of the last attempt
    int grantedRetries = 0; ///< retry budget lent to the last attempt, for use further down the chain
    core::TimePoint sentAt {};
    std::vector<core::NodeId> tried; ///< destinations of earlier attempts; cleared when no other endpoint is left
};

/// Calls by id. Writer: CallController.
struct CallTable
{
    std::unordered_map<std::uint64_t, CallState> calls;
};
} // namespace figpulley::board
