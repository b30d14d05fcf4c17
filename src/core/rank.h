#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace figpulley::core
{
/// Order of shedding: the priority level first, then a stable hash of the user within the level.
/// The smallest rank is shed first. One user keeps one rank on every hop, so a whole chain passes or not.
class Rank
{
public:
    static constexpr std::uint32_t usersPerLevel = 4096; ///< buckets of the user hash within one level
    static constexpr std::uint32_t maximumLevels = 8;
    static constexpr std::uint32_t end = usersPerLevel * maximumLevels; ///< one past the largest rank

    constexpr Rank() noexcept = default;

    /// @param number value in 0 to `end`; larger values are clamped
    constexpr explicit Rank(std::uint32_t number) noexcept
        : number(number > end ? end : number)
    {
    }

    /// Builds a rank from a level and a user.
    /// @param level 0 is shed first
    /// @param user any stable identity; empty for none
    /// @returns the rank
    [[nodiscard]] static Rank of(std::uint32_t level, std::string_view user) noexcept;

    [[nodiscard]] constexpr std::uint32_t value() const noexcept
    {
        return this->number;
    }

    [[nodiscard]] constexpr std::uint32_t level() const noexcept
    {
        return this->number / usersPerLevel;
    }

    [[nodiscard]] constexpr auto operator<=>(const Rank &) const noexcept = default;

private:
    std::uint32_t number = 0;
};
} // namespace figpulley::core
