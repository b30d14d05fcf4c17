#pragma once

#include "board/admissionstate.h"
#include "core/rank.h"

#include <cstdint>

namespace figpulley::decide
{
/// Computes the threshold for the next window.
///
/// After refusals, the threshold moves towards the rank above which the arrivals match the number of calls started. While the limit
/// does not bind, the threshold falls by a step that doubles with each window, so that the threshold returns to 0 within a second after a
/// surge of any size.
/// @param threshold threshold of the window that has ended
/// @param nextStep step by which the threshold is lowered next, in ranks; updated
/// @param counts counts of the window that has ended
/// @param seconds length of the window
/// @returns the new threshold
[[nodiscard]] core::Rank nextThreshold(core::Rank threshold, std::uint32_t &nextStep, const board::ThresholdCounts &counts,
                                       double seconds) noexcept;

/// Decays the moving sums and resets the counts of the window.
void decayCounts(board::ThresholdCounts &counts) noexcept;
} // namespace figpulley::decide
