#include "core/log.h"

#include "core/nametable.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace figpulley::core
{
namespace
{
constexpr std::array<std::string_view, 5> levelNames {"debug", "info", "warning", "error", "off"};
std::atomic<LogLevel> currentLevel {LogLevel::Info};
std::atomic<LogSink *> currentSink {nullptr};

bool needsQuotes(std::string_view text) noexcept
{
    return text.empty() || text.find_first_of(" \"=\n\t\\") != std::string_view::npos;
}

void appendQuoted(std::string &line, std::string_view text)
{
    line += '"';
    for (const char character : text) {
        if (character == '\n') {
            line += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += character;
    }
    line += '"';
}
} // namespace

std::optional<LogLevel> logLevelFromName(std::string_view name) noexcept
{
    return enumFromName<LogLevel>(levelNames, name);
}

void setLogLevel(LogLevel level) noexcept
{
    currentLevel.store(level, std::memory_order_relaxed);
}

void setLogSink(LogSink *sink) noexcept
{
    currentSink.store(sink);
}

bool isLogged(LogLevel level) noexcept
{
    return level >= currentLevel.load(std::memory_order_relaxed);
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!isLogged(level)) {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    auto line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}Z level={} event={}", now, levelNames[static_cast<std::size_t>(level)], event);
    for (const auto &field : fields) {
        line += fmt::format(" {}=", field.key);
        if (needsQuotes(field.value)) {
            appendQuoted(line, field.value);
        } else {
            line += field.value;
        }
    }
    line += '\n';
    if (auto *sink = currentSink.load()) {
        sink->write(line);
    } else {
        fmt::print(stdout, "{}", line);
    }
}
} // namespace figpulley::core
