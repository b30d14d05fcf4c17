#pragma once

#include "board/blackboard.h"
#include "core/ids.h"
#include "core/time.h"

namespace figpulley::decide
{
/// Result of recording an attempt.
enum class AttemptRecordResult : std::uint8_t {
    New,
    Duplicate,
    Full,
};

/// Deduplicates the attempts of calls that are not idempotent, so that no attempt runs twice.
class AttemptTable
{
public:
    /// Maximum number of recorded attempts. When the table is full, further calls are refused as not run, since a call that runs
    /// unrecorded could run twice.
    static constexpr std::size_t capacity = 200'000;

    /// Records an attempt unless it is known already or the table is full.
    /// @param deadline deadline of the call; the id is kept for some time after it
    [[nodiscard]] AttemptRecordResult recordAttempt(board::Blackboard &board, core::AttemptId id, core::TimePoint deadline,
                                                    core::TimePoint now) const;

private:
    void removeExpired(board::AttemptState &state, core::TimePoint now) const;
};
} // namespace figpulley::decide
