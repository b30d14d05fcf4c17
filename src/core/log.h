#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::core
{
/// Severity of a log line; lines below the process's level are dropped.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
    Off,
};

/// One key and its value in a structured log line.
struct LogField
{
    std::string_view key;
    std::string value;
};

/// Finds a level by name ("debug", "info", "warning", "error", "off").
[[nodiscard]] std::optional<LogLevel> logLevelFromName(std::string_view name) noexcept;

/// Sets the process's level.
void setLogLevel(LogLevel level) noexcept;

/// Whether a line of this level would be written; guards costly fields.
[[nodiscard]] bool isLogged(LogLevel level) noexcept;

/// Takes finished log lines.
class LogSink
{
public:
    virtual ~LogSink() = default;

    /// @param line with its line feed
    virtual void write(std::string_view line) = 0;

    LogSink() = default;
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;
};

/// Sends the process's lines to a sink; nullptr: to standard output at once.
void setLogSink(LogSink *sink) noexcept;

/// Writes one `key=value` line, with the wall-clock time.
/// @param level severity
/// @param event short fixed name of what happened
/// @param fields further keys; values are quoted where needed
///
/// Example: `log(LogLevel::Info, "node.started", {{"address", address}});`
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});
} // namespace figpulley::core
