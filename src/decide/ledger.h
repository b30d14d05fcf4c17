#pragma once

#include "board/blackboard.h"
#include "core/ids.h"
#include "core/time.h"

#include <optional>

namespace figpulley::decide
{
/// Tracks the calls that arrived at this ingress, and the retry budget that their nested calls share.
///
/// The budget lent to a nested call is returned only with a response that reports what was spent. Therefore the retries below a root
/// call never exceed its budget, even if responses are lost.
class Ledger
{
public:
    /// Opens an entry for an arriving call, with the retry budget that its caller lent.
    void open(board::Blackboard &board, core::EntryId id, const core::CallEnvelope &envelope, std::uint64_t traceLow,
              core::TimePoint now) const;

    /// Closes an entry.
    /// @returns the retries spent below it; budget that nested calls have not returned counts as spent
    int close(board::Blackboard &board, core::EntryId id) const;

    [[nodiscard]] const board::LedgerEntry *find(const board::Blackboard &board, core::EntryId id) const noexcept;

    /// Finds the entry of a trace.
    /// @returns nothing unless exactly one entry has this trace
    [[nodiscard]] std::optional<core::EntryId> findByTrace(const board::Blackboard &board, std::uint64_t traceLow) const noexcept;

    /// Marks an entry as running: from now on, bytes of the call may have reached the upstream.
    void markRunning(board::Blackboard &board, core::EntryId id) const;

    /// Spends one retry of an entry's budget.
    /// @returns false if no retry is left or the entry is closed
    bool spendRetry(board::Blackboard &board, core::EntryId id) const;

    /// Lends half of the budget, rounded up, to a nested call, so that some may remain for a parallel nested call.
    /// @returns the number of retries lent
    [[nodiscard]] int lendBudget(board::Blackboard &board, core::EntryId id) const;

    /// Cancels the rest of an entry's budget, because its response has begun and cannot report later retries.
    /// @returns the retries spent so far
    [[nodiscard]] int freezeBudget(board::Blackboard &board, core::EntryId id) const;

    /// Returns to an entry the lent budget that a nested call did not spend.
    void returnBudget(board::Blackboard &board, core::EntryId id, int unspent) const;

    /// Records the start of a nested call, whose time does not count as the upstream's own.
    void recordNestedStart(board::Blackboard &board, core::EntryId id, core::TimePoint now) const;

    /// Records the end of a nested call.
    /// @param threshold maximum threshold that its path reported
    /// @param isRefused whether the call ended without a response of an upstream
    void recordNestedEnd(board::Blackboard &board, core::EntryId id, core::Rank threshold, bool isRefused, core::TimePoint now) const;

    /// Returns the time since `started` in which the call had no nested call outstanding; at least one tick.
    [[nodiscard]] static core::Duration selfTime(const board::LedgerEntry &entry, core::TimePoint started, core::TimePoint now) noexcept;

private:
    [[nodiscard]] board::LedgerEntry *findMutable(board::Blackboard &board, core::EntryId id) const noexcept;
};
} // namespace figpulley::decide
