#include "config/filekind.h"

#include "core/nametable.h"

#include <array>

namespace figpulley::config
{
namespace
{
constexpr std::array<std::string_view, 4> names {"overload-policy", "request-priorities", "alert-rules", "metric-mapping"};
static_assert(names.size() == static_cast<std::size_t>(FileKind::MetricMapping) + 1);
} // namespace

std::string_view name(FileKind kind) noexcept
{
    return names[static_cast<std::size_t>(kind)];
}

std::optional<FileKind> fileKindFromName(std::string_view name) noexcept
{
    return core::enumFromName<FileKind>(names, name);
}
} // namespace figpulley::config
