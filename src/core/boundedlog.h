#pragma once

#include "core/log.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace figpulley::core
{
/// Holds log lines until they can be written without waiting. Its memory is bounded: lines that do not fit are dropped, and how many
/// is told by a line as soon as there is room.
class BoundedLog : public LogSink
{
public:
    /// Bytes that are held at most.
    static constexpr std::size_t defaultCapacity = 512UL * 1024UL;

    /// @param descriptor is made non-blocking
    explicit BoundedLog(int descriptor, std::size_t capacity = defaultCapacity);
    ~BoundedLog() override;

    void write(std::string_view line) override;

    /// Writes as much as goes without waiting.
    void flush();

    /// Whether lines wait to be written.
    [[nodiscard]] bool isPending() const noexcept;

    [[nodiscard]] std::uint64_t droppedLines() const noexcept;

private:
    int descriptor;
    std::size_t capacity;
    std::string buffer;
    std::size_t written = 0; // of the buffer
    std::uint64_t dropped = 0;
    std::uint64_t droppedTold = 0;
};
} // namespace figpulley::core
