#pragma once

#include "text/problem.h"
#include "text/value.h"

#include <optional>
#include <string>
#include <string_view>

namespace figpulley::text
{
/// Deepest nesting that the parser accepts.
inline constexpr int maximumDepth = 64;

/// Parses JSON with `//` and `/* */` comments and optional trailing commas.
/// Duplicate keys are errors.
/// @param file name for messages
/// @param source the text
/// @param problems receives what is wrong, with line and column
/// @returns the root value, or nothing after an error
///
/// Example: `auto root = parse("a.json", "{ \"a\": 1 } // note", problems);`
[[nodiscard]] std::optional<Value> parse(const std::string &file, std::string_view source, Problems &problems);
} // namespace figpulley::text
