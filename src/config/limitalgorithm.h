#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace figpulley::config
{
/// Algorithm by which an ingress adapts its concurrency limit.
enum class LimitAlgorithm : std::uint8_t {
    Probing, ///< searches for the smallest concurrency that sustains the throughput
    Gradient, ///< scales the limit by the ratio of the minimum latency to the current latency
    Aimd, ///< additive increase; multiplicative decrease when the latency rises
    Pid, ///< proportional-integral-derivative controller of the latency ratio
    Fixed, ///< keeps the initial limit
};

/// Name of an algorithm, as written in files.
[[nodiscard]] std::string_view name(LimitAlgorithm algorithm) noexcept;

/// Parses the name of an algorithm.
[[nodiscard]] std::optional<LimitAlgorithm> limitAlgorithmFromName(std::string_view name) noexcept;
} // namespace figpulley::config
