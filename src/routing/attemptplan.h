#pragma once

#include <cstdint>

namespace figpulley::routing
{
/// Counts the attempts of one request and decides whether another one may follow.
class AttemptPlan
{
public:
    /// Whether another attempt may follow, and whether it draws on the retry budget.
    enum class Next : std::uint8_t {
        GiveUp, ///< no further attempt is allowed
        WithoutBudget, ///< allowed without the budget, since no endpoint has received the request
        FromBudget, ///< allowed if the retry budget of all nodes permits it
    };

    AttemptPlan() = default;

    /// @param isIdempotent whether the request may run more than once
    /// @param maxRuns maximum number of endpoints that may run it
    AttemptPlan(bool isIdempotent, int maxRuns) noexcept;

    /// Records that a node has refused the attempt or was unreachable, so that the endpoint has not received it.
    [[nodiscard]] Next recordNodeRefusal() noexcept;

    /// Records that the endpoint has refused the attempt and reports that it did not run.
    [[nodiscard]] Next recordEndpointRefusal() noexcept;

    /// Records that the attempt has failed and may have run.
    [[nodiscard]] Next recordPossibleRun() noexcept;

    /// Whether an earlier attempt may have run.
    [[nodiscard]] bool mayHaveRun() const noexcept;

private:
    bool isIdempotent = false;
    int maxRuns = 1;
    int runs = 0;
    int refusalsByNodes = 0;
    int refusalsByEndpoints = 0;
};
} // namespace figpulley::routing
