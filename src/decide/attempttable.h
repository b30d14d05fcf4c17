#pragma once

#include "board/blackboard.h"
#include "core/ids.h"
#include "core/time.h"

namespace figpulley::decide
{
/// What the table says about an attempt.
enum class AttemptVerdict : std::uint8_t {
    New,
    Duplicate,
    Full,
};

/// Remembers the attempts at calls that may not be repeated, so that a copy of one never runs.
class AttemptTable
{
public:
    /// Attempts remembered at once; beyond it calls are refused as not run, never let through unremembered.
    static constexpr std::size_t capacity = 200'000;

    /// Remembers an attempt.
    /// @param id the attempt
    /// @param deadline of the call; the id is kept for a while longer
    [[nodiscard]] AttemptVerdict remember(board::Blackboard &board, core::AttemptId id, core::TimePoint deadline,
                                          core::TimePoint now) const;

private:
    void forgetOld(board::AttemptState &state, core::TimePoint now) const;
};
} // namespace figpulley::decide
