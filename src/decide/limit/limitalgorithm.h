#pragma once

#include "board/admissionstate.h"
#include "config/overloadpolicy.h"

namespace figpulley::decide
{
/// Summary of one control window of an ingress.
struct LimitWindow
{
    double latency = 0; ///< mean latency of a completed call without its nested calls, in seconds
    double concurrency = 0; ///< mean number of running calls
    double throughput = 0; ///< completed calls per second
    double saturation = 0; ///< fraction of the window in which the limit was reached, 0 to 1
    std::uint32_t completed = 0;
    std::uint32_t overloadResponses = 0; ///< number of responses in which the upstream reports that it sheds load
};

/// Adapts a concurrency limit. Implementations are stateless; state between windows is kept in LimitState.
class LimitAlgorithm
{
public:
    virtual ~LimitAlgorithm() = default;

    /// Computes the next limit.
    /// @param state state from earlier windows; updated
    /// @param window the window that has ended, with at least one completed call
    /// @param policy bounds of the limit
    /// @returns the limit in calls, before clamping to the policy's bounds
    [[nodiscard]] virtual double nextLimit(board::LimitState &state, const LimitWindow &window,
                                           const config::ServicePolicy &policy) const = 0;

    LimitAlgorithm() = default;
    LimitAlgorithm(const LimitAlgorithm &) = delete;
    LimitAlgorithm &operator=(const LimitAlgorithm &) = delete;
};

/// Returns the implementation of an algorithm.
[[nodiscard]] const LimitAlgorithm &limitAlgorithmFor(config::LimitAlgorithm algorithm) noexcept;
} // namespace figpulley::decide
