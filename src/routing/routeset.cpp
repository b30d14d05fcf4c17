#include "routing/routeset.h"

#include "core/nametable.h"

#include <array>

namespace figpulley::routing
{
namespace
{
constexpr std::array<std::string_view, 3> kindNames {"safe", "unsafe", "download"};
static_assert(kindNames.size() == static_cast<std::size_t>(RequestKind::Download) + 1, "every kind has a name");
} // namespace

std::string_view name(RequestKind kind) noexcept
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::optional<RequestKind> requestKindFromName(std::string_view name) noexcept
{
    return core::enumFromName<RequestKind>(kindNames, name);
}
} // namespace figpulley::routing
