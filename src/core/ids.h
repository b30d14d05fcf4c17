#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace figpulley::core
{
/// Identifier of one attempt of one call. It is random, and the receiving ingress rejects one that it has seen before unless the call
/// is idempotent.
enum class AttemptId : std::uint64_t {};

/// Identifier of a call in flight inside one node's egress.
enum class CallId : std::uint64_t {};

/// Identifier of a call that arrived at one node's ingress; nested calls refer to it as their parent.
enum class EntryId : std::uint64_t {};

/// Incarnation of a node process: its start in microseconds of wall time. A VM that replaces another one at the same address has a
/// larger incarnation.
enum class Incarnation : std::uint64_t {};

/// Identifier of a node, derived from its control address. It stays the same across restarts, unlike the incarnation.
enum class NodeId : std::uint64_t {};

/// Returns the numeric value of an identifier.
///
/// Example: `value(AttemptId {7}) == 7`
template<class Id>
[[nodiscard]] constexpr std::uint64_t value(Id id) noexcept
{
    return static_cast<std::uint64_t>(id);
}

/// Formats a 64-bit number as 16 lower-case hexadecimal digits.
[[nodiscard]] std::string toHex(std::uint64_t number);

/// Parses a hexadecimal number of at most 64 bits.
/// @param number receives the value
/// @returns false if the text is not a hexadecimal number
[[nodiscard]] bool fromHex(std::string_view text, std::uint64_t &number) noexcept;
} // namespace figpulley::core
