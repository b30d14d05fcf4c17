#include "bench/experimentoptions.h"

#include "core/nametable.h"

#include <array>

namespace figpulley::bench
{
namespace
{
constexpr std::array<std::string_view, 6> scenarioNames {"steady", "surge", "deep-slow", "deep-slow-retrying", "cold-start", "lying-load"};
constexpr std::array<std::string_view, 4> controlModeNames {"full", "none", "per-hop-retries", "static-limit"};
static_assert(scenarioNames.size() == static_cast<std::size_t>(Scenario::MisleadingLoadReport) + 1);
static_assert(controlModeNames.size() == static_cast<std::size_t>(ControlMode::StaticLimit) + 1);
} // namespace

std::string_view name(Scenario scenario) noexcept
{
    return scenarioNames[static_cast<std::size_t>(scenario)];
}

std::string_view name(ControlMode mode) noexcept
{
    return controlModeNames[static_cast<std::size_t>(mode)];
}

std::optional<Scenario> scenarioFromName(std::string_view name) noexcept
{
    return core::enumFromName<Scenario>(scenarioNames, name);
}

std::optional<ControlMode> controlModeFromName(std::string_view name) noexcept
{
    return core::enumFromName<ControlMode>(controlModeNames, name);
}
} // namespace figpulley::bench
