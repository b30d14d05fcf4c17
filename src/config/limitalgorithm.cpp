#include "config/limitalgorithm.h"

#include "core/nametable.h"

#include <array>

namespace figpulley::config
{
namespace
{
constexpr std::array<std::string_view, 5> names {"probing", "gradient", "aimd", "pid", "fixed"};
static_assert(names.size() == static_cast<std::size_t>(LimitAlgorithm::Fixed) + 1);
} // namespace

std::string_view name(LimitAlgorithm algorithm) noexcept
{
    return names[static_cast<std::size_t>(algorithm)];
}

std::optional<LimitAlgorithm> limitAlgorithmFromName(std::string_view name) noexcept
{
    return core::enumFromName<LimitAlgorithm>(names, name);
}
} // namespace figpulley::config
