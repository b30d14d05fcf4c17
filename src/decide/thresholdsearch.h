#pragma once

#include "board/admissionstate.h"
#include "core/rank.h"

#include <cstdint>

namespace figpulley::decide
{
/// Computes the threshold for the next window.
///
/// After refusals it is the rank above which the arrivals just fit what was started. While calls are not held back
/// it falls, by a step that doubles each time, so that a surge of any size is forgotten within a second.
/// @param threshold the present one
/// @param descent the next step of the fall, in ranks; updated
/// @param counts the window that has ended
/// @param seconds length of the window
/// @returns the new threshold
[[nodiscard]] core::Rank nextThreshold(core::Rank threshold, std::uint32_t &descent, const board::ThresholdCounts &counts,
                                       double seconds) noexcept;

/// Ages the moving sums and clears the counts of the window.
void decay(board::ThresholdCounts &counts) noexcept;
} // namespace figpulley::decide
