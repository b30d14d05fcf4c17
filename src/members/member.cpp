#include "members/member.h"

#include <array>
#include <tuple>

#include <xxhash.h>

namespace figpulley::members
{
namespace
{
constexpr std::array<std::string_view, 3> statusNames {"alive", "suspect", "dead"};
static_assert(statusNames.size() == static_cast<std::size_t>(MemberStatus::Dead) + 1);
} // namespace

std::string_view name(MemberStatus status) noexcept
{
    return statusNames[static_cast<std::size_t>(status)];
}

bool isNewer(const Announcement &left, const Announcement &right) noexcept
{
    return std::tie(left.incarnation, left.version, left.status) > std::tie(right.incarnation, right.version, right.status);
}

core::NodeId nodeIdOf(std::string_view controlAddress) noexcept
{
    return core::NodeId {XXH3_64bits(controlAddress.data(), controlAddress.size())};
}
} // namespace figpulley::members
