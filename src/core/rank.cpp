#include "core/rank.h"

#include <algorithm>

#include <xxhash.h>

namespace figpulley::core
{
Rank Rank::of(std::uint32_t level, std::string_view user) noexcept
{
    const auto bounded = std::min(level, maximumLevels - 1);
    const auto bucket = static_cast<std::uint32_t>(XXH3_64bits(user.data(), user.size()) % usersPerLevel);
    return Rank(bounded * usersPerLevel + bucket);
}
} // namespace figpulley::core
