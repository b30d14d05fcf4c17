#pragma once

#include "board/blackboard.h"
#include "core/ids.h"
#include "core/time.h"

#include <optional>

namespace figpulley::decide
{
/// Keeps the calls admitted at this ingress, and the retry budget that their nested calls share.
///
/// What is lent to a nested call comes back only with an answer that says what was spent, so the attempts
/// below one root never exceed its budget, whatever is lost.
class Ledger
{
public:
    /// Opens an entry for an arriving call, with the budget that its caller lent.
    void open(board::Blackboard &board, core::EntryId id, const core::CallEnvelope &envelope, std::uint64_t traceLow,
              core::TimePoint now) const;

    /// Closes an entry.
    /// @returns the retries spent below it; loans that never came back count as spent
    int close(board::Blackboard &board, core::EntryId id) const;

    [[nodiscard]] const board::LedgerEntry *find(const board::Blackboard &board, core::EntryId id) const noexcept;

    /// Finds the entry of a trace.
    /// @returns nothing if no entry or more than one has this trace
    [[nodiscard]] std::optional<core::EntryId> findByTrace(const board::Blackboard &board, std::uint64_t traceLow) const noexcept;

    /// Marks that bytes of the call may reach the upstream from now on.
    void markRunning(board::Blackboard &board, core::EntryId id) const;

    /// Takes one retry out of an entry's budget.
    /// @returns false if none is left or the entry is gone
    bool draw(board::Blackboard &board, core::EntryId id) const;

    /// Lends part of the budget to a nested call: half, rounded up, so that a parallel one finds some too.
    [[nodiscard]] int lend(board::Blackboard &board, core::EntryId id) const;

    /// Takes away what is left of an entry's budget, because its answer has begun and can report no more.
    /// @returns the retries spent so far
    [[nodiscard]] int freeze(board::Blackboard &board, core::EntryId id) const;

    /// Returns what a nested call did not spend.
    void giveBack(board::Blackboard &board, core::EntryId id, int unspent) const;

    /// A nested call begins; its time does not count as the upstream's own.
    void nestedStarted(board::Blackboard &board, core::EntryId id, core::TimePoint now) const;

    /// A nested call has ended.
    /// @param threshold the largest that its path reported
    /// @param isRefused whether it did not get an upstream's answer
    void nestedEnded(board::Blackboard &board, core::EntryId id, core::Rank threshold, bool isRefused, core::TimePoint now) const;

    /// Time of a call since its arrival in which no nested call was outstanding.
    [[nodiscard]] static core::Duration selfTime(const board::LedgerEntry &entry, core::TimePoint started, core::TimePoint now) noexcept;

private:
    [[nodiscard]] board::LedgerEntry *findMutable(board::Blackboard &board, core::EntryId id) const noexcept;
};
} // namespace figpulley::decide
