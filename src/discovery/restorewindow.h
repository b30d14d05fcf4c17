#pragma once

#include "core/time.h"

#include <cstddef>

namespace figpulley::discovery
{
/// Time over which the nodes spread the writes of the records that a restored store has lost, so that they stay within the store's rate.
/// @param lost number of lost records
[[nodiscard]] core::Duration rewriteWindow(std::size_t lost) noexcept;

/// Time after a list of a restored store after which a record that is still missing counts as gone.
/// @param lost number of lost records
[[nodiscard]] core::Duration confirmationTime(std::size_t lost) noexcept;
} // namespace figpulley::discovery
