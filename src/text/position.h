#pragma once

#include <cstdint>

namespace figpulley::text
{
/// A position in a source text; lines and columns are counted from 1.
struct Position
{
    std::uint32_t line = 1;
    std::uint32_t column = 1; ///< in bytes

    [[nodiscard]] constexpr bool operator==(const Position &) const noexcept = default;
};
} // namespace figpulley::text
