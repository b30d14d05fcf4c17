#pragma once

#include "board/admissionstate.h"
#include "config/overloadpolicy.h"

namespace figpulley::decide
{
/// One control window of an ingress, summed up.
struct LimitWindow
{
    double latency = 0; ///< mean time of a completed call without its nested calls, in seconds
    double concurrency = 0; ///< mean number of calls running
    double throughput = 0; ///< completed calls per second
    double saturation = 0; ///< share of the window in which calls were held back, 0 to 1
    std::uint32_t completed = 0;
    std::uint32_t overloadResponses = 0; ///< answers that say the upstream sheds load
};

/// Adapts a concurrency limit. Implementations keep nothing; what they remember stands in LimitState.
class LimitAlgorithm
{
public:
    virtual ~LimitAlgorithm() = default;

    /// Computes the next limit.
    /// @param state what was remembered; updated
    /// @param window the window that has ended, with at least one completed call
    /// @param policy bounds of the limit
    /// @returns the limit in calls, before clamping to the policy's bounds
    [[nodiscard]] virtual double nextLimit(board::LimitState &state, const LimitWindow &window,
                                           const config::ServicePolicy &policy) const = 0;

    LimitAlgorithm() = default;
    LimitAlgorithm(const LimitAlgorithm &) = delete;
    LimitAlgorithm &operator=(const LimitAlgorithm &) = delete;
};

/// The implementation of an algorithm.
[[nodiscard]] const LimitAlgorithm &limitAlgorithmFor(config::LimitAlgorithm algorithm) noexcept;
} // namespace figpulley::decide
