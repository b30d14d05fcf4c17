#pragma once

#include "text/problem.h"
#include "text/value.h"

#include <optional>
#include <string>
#include <string_view>

namespace figpulley::text
{
/// Maximum nesting of arrays and objects; bounds the recursion of the parser.
inline constexpr int maxNestingDepth = 64;

/// Parses JSON with `//` and `/* */` comments and optional trailing commas.
/// Rejects duplicate keys.
/// @param file name of the file, for messages
/// @param source contents of the file
/// @param problems receives the errors, with line and column
/// @returns the root value, or nothing if the text has an error
///
/// Example: `auto root = parse("a.json", "{ \"a\": 1 } // note", problems);`
[[nodiscard]] std::optional<Value> parse(const std::string &file, std::string_view source, Problems &problems);
} // namespace figpulley::text
