#pragma once

#include <cstdint>

namespace figpulley::routing
{
/// The attempts of one request so far, and whether another may follow.
class AttemptPlan
{
public:
    /// What another attempt costs.
    enum class Next : std::uint8_t {
        GiveUp, ///< none may follow
        Free, ///< nothing: no endpoint has seen the request
        Paid, ///< a repeat from the budget that all nodes share
    };

    AttemptPlan() = default;

    /// @param isIdempotent whether the request may run more than once
    /// @param mostRuns endpoints that may run it
    AttemptPlan(bool isIdempotent, int mostRuns) noexcept;

    /// A node has refused the attempt, or could not be reached: the endpoint has not seen it.
    [[nodiscard]] Next refusedOnTheWay() noexcept;

    /// The endpoint has refused it and states that it did not run.
    [[nodiscard]] Next refusedByEndpoint() noexcept;

    /// It may have run.
    [[nodiscard]] Next lost() noexcept;

    /// Whether an earlier attempt may have run.
    [[nodiscard]] bool mayHaveRun() const noexcept;

private:
    bool isIdempotent = false;
    int mostRuns = 1;
    int runs = 0;
    int refusalsOnTheWay = 0;
    int refusalsByEndpoints = 0;
};
} // namespace figpulley::routing
