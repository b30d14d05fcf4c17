#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace figpulley::core
{
/// Position of a call in the order of load shedding: the priority level, then a stable hash of the user within the level.
/// The smallest rank is shed first. A user has the same rank on every hop, so a chain is admitted or shed as a whole.
class Rank
{
public:
    static constexpr std::uint32_t usersPerLevel = 4096; ///< number of user hash buckets within one level
    static constexpr std::uint32_t maximumLevels = 8;
    static constexpr std::uint32_t end = usersPerLevel * maximumLevels; ///< one past the largest rank

    constexpr Rank() noexcept = default;

    /// @param number value from 0 to `end`; larger values are clamped
    constexpr explicit Rank(std::uint32_t number) noexcept
        : number(number > end ? end : number)
    {
    }

    /// Computes the rank of a user's calls at a priority level.
    /// @param level priority level; 0 is shed first
    /// @param user stable identity of the user; empty if the call has none
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
