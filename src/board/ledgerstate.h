#pragma once

#include "core/envelope.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace figpulley::board
{
/// A call that arrived at this ingress and whose response is pending. Its nested calls share its retry budget.
struct LedgerEntry
{
    core::CallEnvelope envelope;
    core::TimePoint arrived {};
    core::TimePoint deadline {};
    std::uint64_t traceLow = 0; ///< low half of the W3C trace id
    int retriesLeft = 0; ///< remaining retries of the budget that the caller lent
    int outstandingNested = 0; ///< nested calls in progress
    core::TimePoint nestedSince {}; ///< start of the current period with nested calls; valid while outstandingNested is positive
    core::Duration nestedTime {}; ///< total time with at least one nested call in progress
    core::Rank nestedThreshold; ///< highest threshold that nested calls reported
    bool hasNestedRefusal = false; ///< whether a nested call was refused
    bool isRunning = false; ///< whether bytes may have been sent to the upstream
};

/// Ledger entries by id. Writer: Ledger.
struct LedgerState
{
    std::unordered_map<std::uint64_t, LedgerEntry> entries;
    std::unordered_multimap<std::uint64_t, std::uint64_t> entriesByTrace; ///< entry ids by the low half of the trace id
};
} // namespace figpulley::board
