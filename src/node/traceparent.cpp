#include "node/traceparent.h"

#include "core/ids.h"

#include <fmt/format.h>

namespace figpulley::node
{
namespace
{
constexpr std::size_t textLength = 55;
constexpr std::size_t traceHighOffset = 3;
constexpr std::size_t traceLowOffset = 19;
constexpr std::size_t spanOffset = 36;
constexpr std::size_t flagsOffset = 53;
constexpr std::size_t numberLength = 16;
constexpr std::size_t flagsLength = 2;
} // namespace

std::string TraceParent::toString() const
{
    return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}", this->traceHigh, this->traceLow, this->span, this->flags);
}

std::optional<TraceParent> parseTraceParent(std::string_view text) noexcept
{
    const bool isWellFormed =
        text.size() == textLength && text.starts_with("00-") && text[spanOffset - 1] == '-' && text[flagsOffset - 1] == '-';
    if (!isWellFormed) {
        return std::nullopt;
    }
    TraceParent trace;
    std::uint64_t flags = 0;
    const bool isParsed = core::fromHex(text.substr(traceHighOffset, numberLength), trace.traceHigh)
        && core::fromHex(text.substr(traceLowOffset, numberLength), trace.traceLow)
        && core::fromHex(text.substr(spanOffset, numberLength), trace.span) && core::fromHex(text.substr(flagsOffset, flagsLength), flags);
    if (!isParsed) {
        return std::nullopt;
    }
    trace.flags = static_cast<std::uint8_t>(flags);
    return trace;
}
} // namespace figpulley::node
