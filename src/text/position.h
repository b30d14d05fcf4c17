#pragma once

#include <cstdint>

namespace figpulley::text
{
/// A place in a source text; both numbers start at 1.
struct Position
{
    std::uint32_t line = 1;
    std::uint32_t column = 1; ///< in bytes

    [[nodiscard]] constexpr bool operator==(const Position &) const noexcept = default;
};
} // namespace figpulley::text
