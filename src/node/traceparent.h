#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::node
{
/// The W3C `traceparent` header, version 00.
struct TraceParent
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;
    std::uint8_t flags = 0;

    [[nodiscard]] std::string toString() const;
    [[nodiscard]] bool operator==(const TraceParent &) const = default;
};

/// Parses a `traceparent` header.
/// @returns nothing if the header is malformed
///
/// Example: `parseTraceParent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")`
[[nodiscard]] std::optional<TraceParent> parseTraceParent(std::string_view text) noexcept;
} // namespace figpulley::node
