#include "node/traceparent.h"

#include "core/ids.h"

#include <fmt/format.h>

namespace figpulley::node
{
namespace
{
constexpr std::size_t textLength = 55;
constexpr std::size_t traceHighAt = 3;
constexpr std::size_t traceLowAt = 19;
constexpr std::size_t spanAt = 36;
constexpr std::size_t flagsAt = 53;
constexpr std::size_t numberLength = 16;
constexpr std::size_t flagsLength = 2;
} // namespace

std::string TraceParent::toString() const
{
    return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}", this->traceHigh, this->traceLow, this->span, this->flags);
}

std::optional<TraceParent> parseTraceParent(std::string_view text) noexcept
{
    const bool hasShape = text.size() == textLength && text.starts_with("00-") && text[spanAt - 1] == '-' && text[flagsAt - 1] == '-';
    if (!hasShape) {
        return std::nullopt;
    }
    TraceParent trace;
    std::uint64_t flags = 0;
    const bool isRead = core::fromHex(text.substr(traceHighAt, numberLength), trace.traceHigh)
        && core::fromHex(text.substr(traceLowAt, numberLength), trace.traceLow)
        && core::fromHex(text.substr(spanAt, numberLength), trace.span) && core::fromHex(text.substr(flagsAt, flagsLength), flags);
    if (!isRead) {
        return std::nullopt;
    }
    trace.flags = static_cast<std::uint8_t>(flags);
    return trace;
}
} // namespace figpulley::node
