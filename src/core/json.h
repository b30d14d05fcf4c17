#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace figpulley::core
{
/// Deepest nesting of JSON that is decoded. nlohmann::json copies, compares and serializes its values recursively, so text of another
/// writer must not decide the depth.
inline constexpr std::size_t maxJsonDepth = 64;

/// Decodes JSON of another writer.
/// @returns a discarded value, on which `at()` throws, if the text is not valid, has a number out of range or is nested too deeply
[[nodiscard]] nlohmann::json parseJson(std::string_view text);

/// Returns a whole number that fits into 64 bits, however it is written; nothing for any other value.
[[nodiscard]] std::optional<std::int64_t> wholeNumber(const nlohmann::json &value);

/// Returns a whole number of at least 0, however it is written.
/// @throws nlohmann::json::exception for any other value
[[nodiscard]] std::uint64_t countOf(const nlohmann::json &value);

/// Member of a JSON object, both parts as they stand in the text; the key without its quotes.
struct JsonMember
{
    std::string_view key;
    std::string_view value;
};

/// Splits an object into its members without decoding them, so that an invalid value does not make the others unreadable. Needs neither
/// recursion nor a copy.
/// @returns nothing if the text is not one object whose brackets and strings end
[[nodiscard]] std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);

/// Splits an array into its elements, as splitJsonObject() does.
[[nodiscard]] std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

/// Returns the text of a member, or nothing if the key is missing or the text is not an object.
[[nodiscard]] std::optional<std::string_view> findJsonMember(std::string_view text, std::string_view key);
} // namespace figpulley::core
