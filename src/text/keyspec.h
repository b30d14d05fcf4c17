#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace figpulley::text
{
/// Expected type of a key's value.
enum class KeyType : std::uint8_t {
    Boolean,
    Integer,
    Number,
    String,
    Strings, ///< array of strings
    Objects, ///< array of objects
    Map, ///< object whose keys the operator chooses
    Object,
};

/// Name of a key type, as used in error messages and in the reference.
[[nodiscard]] std::string_view name(KeyType type) noexcept;

/// Specifies one key of a section: its type, range, default and meaning.
/// ObjectReader validates files with it, and the reference page is generated from it.
struct KeySpec
{
    std::string_view key;
    KeyType type;
    std::string_view defaultText; ///< default value as JSON; empty if the key is required
    double minimum; ///< lower bound of a number, or of the length of a string, array or object
    double maximum; ///< upper bound of a number, or of the length of a string, array or object
    std::string_view description; ///< meaning of the key, with its unit

    [[nodiscard]] constexpr bool isRequired() const noexcept
    {
        return this->defaultText.empty();
    }
};

/// Specifies an object with a fixed set of keys, such as the limits of one service.
struct SectionSpec
{
    std::string_view name;
    std::string_view description;
    std::span<const KeySpec> keys;
};
} // namespace figpulley::text
