#pragma once

#include "core/envelope.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace figpulley::board
{
/// A call admitted at this ingress and not yet answered; its nested calls draw on its retry budget.
struct LedgerEntry
{
    core::CallEnvelope envelope;
    core::TimePoint arrived {};
    core::TimePoint deadline {};
    std::uint64_t traceLow = 0; ///< low half of the W3C trace id
    int budgetLeft = 0; ///< of what the caller lent
    int outstandingNested = 0;
    core::TimePoint nestedSince {}; ///< valid while outstandingNested is positive
    core::Duration nestedTime {}; ///< total time with a nested call outstanding
    core::Rank nestedThreshold; ///< largest threshold that nested calls reported
    bool hasNestedRefusal = false;
    bool isRunning = false; ///< bytes may have been handed to the upstream
};

/// Entries by id. Writer: Ledger.
struct LedgerState
{
    std::unordered_map<std::uint64_t, LedgerEntry> entries;
    std::unordered_multimap<std::uint64_t, std::uint64_t> entriesByTrace; ///< low half of the trace id to entry id
};
} // namespace figpulley::board
