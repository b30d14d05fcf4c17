#pragma once

#include "config/limitalgorithm.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::bench
{
/// What happens during an experiment.
enum class Scenario : std::uint8_t {
    Steady,
    Surge, ///< ten times what the deep service can take
    DeepSlow, ///< the deep service becomes four times slower
    DeepSlowRetrying, ///< the same, with three times the demand and clients that retry at once
    ColdStart, ///< one endpoint of the deep service joins cold while the others are full
    LyingLoad, ///< a surge while the upstreams' load reports say idle
};

/// What controls the calls.
enum class ControlMode : std::uint8_t {
    Full,
    None, ///< nodes pass everything on
    PerHopRetries, ///< the same, and every hop and the client make up to three attempts
    StaticLimit, ///< a fixed limit at each ingress, nothing else
};

[[nodiscard]] std::string_view name(Scenario scenario) noexcept;
[[nodiscard]] std::string_view name(ControlMode mode) noexcept;
[[nodiscard]] std::optional<Scenario> scenarioFromName(std::string_view name) noexcept;
[[nodiscard]] std::optional<ControlMode> controlModeFromName(std::string_view name) noexcept;

/// One experiment on real nodes and stand-ins, over loopback.
struct ExperimentOptions
{
    std::string deployment = "caltagirone";
    Scenario scenario = Scenario::Surge;
    ControlMode control = ControlMode::Full;
    config::LimitAlgorithm limit = config::LimitAlgorithm::Probing;
    std::uint64_t seed = 1;
    double steadySeconds = 2; ///< before the disturbance
    double disturbedSeconds = 5;
    double afterSeconds = 4;
    bool isQuiet = false; ///< no progress line
};
} // namespace figpulley::bench
