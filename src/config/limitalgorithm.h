#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace figpulley::config
{
/// How an ingress adapts its concurrency limit.
enum class LimitAlgorithm : std::uint8_t {
    Probing, ///< searches the smallest concurrency that keeps the throughput
    Gradient, ///< ratio of the smallest latency seen to the present one
    Aimd, ///< additive increase, multiplicative decrease on latency
    Pid, ///< proportional-integral-derivative control of the latency ratio
    Fixed, ///< never changes
};

/// Name of an algorithm as it stands in files.
[[nodiscard]] std::string_view name(LimitAlgorithm algorithm) noexcept;

/// Finds an algorithm by its name.
[[nodiscard]] std::optional<LimitAlgorithm> limitAlgorithmFromName(std::string_view name) noexcept;
} // namespace figpulley::config
