#include "core/ids.h"

#include <charconv>

#include <fmt/format.h>

namespace figpulley::core
{
std::string toHex(std::uint64_t number)
{
    return fmt::format("{:016x}", number);
}

bool fromHex(std::string_view text, std::uint64_t &number) noexcept
{
    constexpr int hexadecimal = 16;
    const auto *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number, hexadecimal);
    return error == std::errc {} && stop == end && !text.empty();
}
} // namespace figpulley::core
