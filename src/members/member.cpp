#include "members/member.h"

#include <array>
#include <tuple>

#include <xxhash.h>

namespace figpulley::members
{
namespace
{
constexpr std::array<std::string_view, 3> claimNames {"alive", "suspect", "dead"};
static_assert(claimNames.size() == static_cast<std::size_t>(Claim::Dead) + 1);
} // namespace

std::string_view name(Claim claim) noexcept
{
    return claimNames[static_cast<std::size_t>(claim)];
}

bool isNewer(const Announcement &left, const Announcement &right) noexcept
{
    return std::tie(left.incarnation, left.version, left.claim) > std::tie(right.incarnation, right.version, right.claim);
}

core::NodeId nodeIdOf(std::string_view controlAddress) noexcept
{
    return core::NodeId {XXH3_64bits(controlAddress.data(), controlAddress.size())};
}
} // namespace figpulley::members
