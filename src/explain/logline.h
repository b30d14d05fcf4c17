#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::explain
{
/// One line of a node's log.
struct LogLine
{
    std::string origin; ///< where it was read
    std::map<std::string, std::string, std::less<>> fields; ///< with `time`, `level` and `event`
    std::string text; ///< as it was written

    /// @returns an empty text if there is no such field
    [[nodiscard]] std::string_view field(std::string_view key) const;
};

/// Reads a line; whatever stands before the first field, such as the name of a VM, is passed over.
/// @returns nothing if the line bears no event
[[nodiscard]] std::optional<LogLine> parseLogLine(std::string_view origin, std::string_view text);
} // namespace figpulley::explain
