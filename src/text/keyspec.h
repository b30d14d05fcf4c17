#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace figpulley::text
{
/// Type of a key's value in a file.
enum class KeyType : std::uint8_t {
    Boolean,
    Integer,
    Number,
    String,
    Strings, ///< array of strings
    Objects, ///< array of objects
    Map, ///< object whose keys are chosen by the operator
    Object,
};

/// Name of a key type for messages and the reference.
[[nodiscard]] std::string_view name(KeyType type) noexcept;

/// One key of a file section: type, range, default and meaning. The reference pages are made from these.
struct KeySpec
{
    std::string_view key;
    KeyType type;
    std::string_view defaultText; ///< as JSON; empty if the key is required
    double minimum; ///< smallest number, or shortest length of a string or array
    double maximum;
    std::string_view doc; ///< meaning, with the unit

    [[nodiscard]] constexpr bool isRequired() const noexcept
    {
        return this->defaultText.empty();
    }
};

/// A named group of keys, such as the limits of one service.
struct SectionSpec
{
    std::string_view name;
    std::string_view doc;
    std::span<const KeySpec> keys;
};
} // namespace figpulley::text
