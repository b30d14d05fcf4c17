#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::core
{
/// Severity of a log line; lines below the process's log level are not written.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
    Off,
};

/// Key and value of a structured log line.
struct LogField
{
    std::string_view key;
    std::string value;
};

/// Finds a level by name ("debug", "info", "warning", "error", "off").
[[nodiscard]] std::optional<LogLevel> logLevelFromName(std::string_view name) noexcept;

/// Sets the process's log level.
void setLogLevel(LogLevel level) noexcept;

/// Whether a line of this level would be written; callers check it before they compute expensive fields.
[[nodiscard]] bool isLogged(LogLevel level) noexcept;

/// Destination of formatted log lines.
class LogSink
{
public:
    virtual ~LogSink() = default;

    /// @param line complete line, including its line feed
    virtual void write(std::string_view line) = 0;

    LogSink() = default;
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;
};

/// Sets the destination of the process's log lines; nullptr selects direct output to standard output.
void setLogSink(LogSink *sink) noexcept;

/// Writes one `key=value` line, with the wall-clock time.
/// @param event name of the event, from a fixed set
/// @param fields further keys; values are quoted where needed
///
/// Example: `log(LogLevel::Info, "node.started", {{"address", address}});`
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});
} // namespace figpulley::core
