#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace figpulley::core
{
/// Names one attempt of one call; random, unique per attempt, checked by the receiving ingress.
enum class AttemptId : std::uint64_t {};

/// Names a call in flight inside one node's egress.
enum class CallId : std::uint64_t {};

/// Names a call admitted at one node's ingress; nested calls name it as their parent.
enum class EntryId : std::uint64_t {};

/// Life of one node process; a replaced VM at the same address has a larger one. Unit: microseconds of wall time at start.
enum class Incarnation : std::uint64_t {};

/// Names a node by its control address; survives a restart, unlike its incarnation.
enum class NodeId : std::uint64_t {};

/// Returns the number behind a strong identifier.
/// @param id any of the enumerations above
/// @returns its value
///
/// Example: `value(AttemptId {7}) == 7`
template<class Id>
[[nodiscard]] constexpr std::uint64_t value(Id id) noexcept
{
    return static_cast<std::uint64_t>(id);
}

/// Writes a 64-bit number as 16 lower-case hexadecimal digits.
[[nodiscard]] std::string toHex(std::uint64_t number);

/// Reads 1 to 16 hexadecimal digits.
/// @param text the digits
/// @param number receives the value
/// @returns false if the text is not a hexadecimal number
[[nodiscard]] bool fromHex(std::string_view text, std::uint64_t &number) noexcept;
} // namespace figpulley::core
