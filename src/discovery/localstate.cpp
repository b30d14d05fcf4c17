#include "discovery/localstate.h"

#include <array>
#include <cstddef>

namespace figpulley::discovery
{
namespace
{
constexpr std::array<std::string_view, 6> stateNames {"unknown", "left_unseen", "heard", "unconfirmed", "in_service", "leaving"};
static_assert(stateNames.size() == static_cast<std::size_t>(LocalState::Leaving) + 1, "every state has a name");
} // namespace

std::string_view name(LocalState state) noexcept
{
    return stateNames[static_cast<std::size_t>(state)];
}
} // namespace figpulley::discovery
