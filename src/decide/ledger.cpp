#include "decide/ledger.h"

#include <algorithm>

namespace figpulley::decide
{
using core::EntryId;
using core::value;

void Ledger::open(board::Blackboard &board, EntryId id, const core::CallEnvelope &envelope, std::uint64_t traceLow,
                  core::TimePoint now) const
{
    auto &state = board.ledger.write();
    board::LedgerEntry entry;
    entry.envelope = envelope;
    entry.arrived = now;
    entry.deadline = now + envelope.remaining;
    entry.traceLow = traceLow;
    entry.retriesLeft = envelope.retryBudget;
    state.entries.emplace(value(id), std::move(entry));
    state.entriesByTrace.emplace(traceLow, value(id));
}

int Ledger::close(board::Blackboard &board, EntryId id) const
{
    auto &state = board.ledger.write();
    const auto found = state.entries.find(value(id));
    if (found == state.entries.end()) {
        return 0;
    }
    const auto spent = found->second.envelope.retryBudget - found->second.retriesLeft;
    const auto [first, last] = state.entriesByTrace.equal_range(found->second.traceLow);
    for (auto position = first; position != last; ++position) {
        if (position->second == value(id)) {
            state.entriesByTrace.erase(position);
            break;
        }
    }
    state.entries.erase(found);
    return spent;
}

const board::LedgerEntry *Ledger::find(const board::Blackboard &board, EntryId id) const noexcept
{
    const auto &entries = board.ledger.read().entries;
    const auto found = entries.find(value(id));
    return found == entries.end() ? nullptr : &found->second;
}

board::LedgerEntry *Ledger::findMutable(board::Blackboard &board, EntryId id) const noexcept
{
    auto &entries = board.ledger.write().entries;
    const auto found = entries.find(value(id));
    return found == entries.end() ? nullptr : &found->second;
}

std::optional<EntryId> Ledger::findByTrace(const board::Blackboard &board, std::uint64_t traceLow) const noexcept
{
    const auto &byTrace = board.ledger.read().entriesByTrace;
    const auto [first, last] = byTrace.equal_range(traceLow);
    if (first == last || std::next(first) != last) {
        return std::nullopt;
    }
    return EntryId {first->second};
}

void Ledger::markRunning(board::Blackboard &board, EntryId id) const
{
    if (auto *entry = this->findMutable(board, id)) {
        entry->isRunning = true;
    }
}

bool Ledger::spendRetry(board::Blackboard &board, EntryId id) const
{
    auto *entry = this->findMutable(board, id);
    if (entry == nullptr || entry->retriesLeft <= 0) {
        return false;
    }
    --entry->retriesLeft;
    return true;
}

int Ledger::lendBudget(board::Blackboard &board, EntryId id) const
{
    auto *entry = this->findMutable(board, id);
    if (entry == nullptr) {
        return 0;
    }
    const auto amount = (entry->retriesLeft + 1) / 2;
    entry->retriesLeft -= amount;
    return amount;
}

int Ledger::freezeBudget(board::Blackboard &board, EntryId id) const
{
    auto *entry = this->findMutable(board, id);
    if (entry == nullptr) {
        return 0;
    }
    const auto spent = entry->envelope.retryBudget - entry->retriesLeft;
    entry->envelope.retryBudget = spent;
    entry->retriesLeft = 0;
    return spent;
}

void Ledger::returnBudget(board::Blackboard &board, EntryId id, int unspent) const
{
    // The spent count stays exact after freezeBudget() too, which has reported the budget of outstanding nested calls as spent.
    if (auto *entry = this->findMutable(board, id)) {
        entry->retriesLeft += unspent;
    }
}

void Ledger::recordNestedStart(board::Blackboard &board, EntryId id, core::TimePoint now) const
{
    auto *entry = this->findMutable(board, id);
    if (entry == nullptr) {
        return;
    }
    if (entry->outstandingNested == 0) {
        entry->nestedSince = now;
    }
    ++entry->outstandingNested;
}

void Ledger::recordNestedEnd(board::Blackboard &board, EntryId id, core::Rank threshold, bool isRefused, core::TimePoint now) const
{
    auto *entry = this->findMutable(board, id);
    if (entry == nullptr) {
        return;
    }
    --entry->outstandingNested;
    if (entry->outstandingNested == 0) {
        entry->nestedTime += now - entry->nestedSince;
    }
    entry->nestedThreshold = std::max(entry->nestedThreshold, threshold);
    entry->hasNestedRefusal = entry->hasNestedRefusal || isRefused;
}

core::Duration Ledger::selfTime(const board::LedgerEntry &entry, core::TimePoint started, core::TimePoint now) noexcept
{
    auto nested = entry.nestedTime;
    if (entry.outstandingNested > 0) {
        nested += now - entry.nestedSince;
    }
    return std::max(core::Duration {1}, now - started - nested);
}
} // namespace figpulley::decide
