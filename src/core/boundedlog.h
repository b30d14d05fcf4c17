#pragma once

#include "core/log.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace figpulley::core
{
/// Buffers log lines until they can be written without blocking. The buffer is bounded: lines that do not fit are dropped, and a
/// `log.dropped` line before the next line that fits reports their number.
class BoundedLog : public LogSink
{
public:
    /// Default size limit of the buffer, in bytes.
    static constexpr std::size_t defaultCapacity = 512UL * 1024UL;

    /// @param descriptor open file descriptor; it is switched to non-blocking mode
    /// @param capacity size limit of the buffer, in bytes
    explicit BoundedLog(int descriptor, std::size_t capacity = defaultCapacity);
    ~BoundedLog() override;

    void write(std::string_view line) override;

    /// Writes as many bytes as the descriptor accepts without blocking.
    void flush();

    /// Whether the buffer holds bytes that are not written yet.
    [[nodiscard]] bool hasPendingLines() const noexcept;

    /// Number of lines dropped since the start.
    [[nodiscard]] std::uint64_t droppedLines() const noexcept;

private:
    int descriptor;
    std::size_t capacity;
    std::string buffer;
    std::size_t written = 0; // bytes at the start of the buffer that are written already
    std::uint64_t dropped = 0;
    std::uint64_t droppedReported = 0; // value of `dropped` at the last log.dropped line
};
} // namespace figpulley::core
