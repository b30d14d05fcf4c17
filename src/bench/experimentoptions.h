#pragma once

#include "config/limitalgorithm.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::bench
{
/// The disturbance that an experiment applies.
enum class Scenario : std::uint8_t {
    Steady,
    Surge, ///< demand rises to ten times the capacity of the deep service
    DeepSlow, ///< service times of the deep service rise to four times their value
    DeepSlowRetrying, ///< like DeepSlow, with three times the demand and clients that retry without delay
    ColdStart, ///< one endpoint of the deep service joins with a cold start while the others are near capacity
    MisleadingLoadReport, ///< like Surge, while the upstreams report no load
};

/// The overload control that is active in an experiment.
enum class ControlMode : std::uint8_t {
    Full, ///< all mechanisms of the nodes
    None, ///< nodes forward every call
    PerHopRetries, ///< like None, while the client and each upstream make up to three attempts of a call
    StaticLimit, ///< a fixed concurrency limit at each ingress and no other mechanism
};

[[nodiscard]] std::string_view name(Scenario scenario) noexcept;
[[nodiscard]] std::string_view name(ControlMode mode) noexcept;
[[nodiscard]] std::optional<Scenario> scenarioFromName(std::string_view name) noexcept;
[[nodiscard]] std::optional<ControlMode> controlModeFromName(std::string_view name) noexcept;

/// Parameters of one experiment, which runs real nodes and stand-ins over loopback.
struct ExperimentOptions
{
    std::string deployment = "caltagirone";
    Scenario scenario = Scenario::Surge;
    ControlMode control = ControlMode::Full;
    config::LimitAlgorithm limit = config::LimitAlgorithm::Probing;
    std::uint64_t seed = 1;
    double steadySeconds = 2; ///< length of the phase before the disturbance
    double disturbedSeconds = 5;
    double postDisturbanceSeconds = 4; ///< length of the phase in which recovery is measured
    bool isQuiet = false; ///< whether the progress line is omitted
};
} // namespace figpulley::bench
