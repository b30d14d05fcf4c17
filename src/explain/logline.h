#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::explain
{
/// A structured line of a node's log.
struct LogLine
{
    std::string origin; ///< name of the log that the line was read from
    std::map<std::string, std::string, std::less<>> fields; ///< all fields by key, including `time`, `level` and `event`
    std::string text; ///< the whole line as written

    /// @returns the value of a field, or an empty view if the line lacks it
    [[nodiscard]] std::string_view field(std::string_view key) const;
};

/// Parses the `key=value` fields of a line. Text that is not a field, such as the name of a VM in front, is ignored.
/// @param origin name of the log that the line was read from
/// @returns nothing if the line has no `event` field
[[nodiscard]] std::optional<LogLine> parseLogLine(std::string_view origin, std::string_view text);
} // namespace figpulley::explain
