#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace figpulley::core
{
/// Finds an enumeration's value by its name.
/// @param names names in the order of the enumeration, without gaps
/// @returns the value, or nothing if no value has this name
///
/// Example: `enumFromName<Colour>(colourNames, "red")`
template<class Enum, std::size_t Size>
[[nodiscard]] std::optional<Enum> enumFromName(const std::array<std::string_view, Size> &names, std::string_view name) noexcept
{
    for (std::size_t index = 0; index < Size; ++index) {
        if (names[index] == name) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}
} // namespace figpulley::core
