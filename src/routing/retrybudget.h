#pragma once

#include "core/rank.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace figpulley::routing
{
/// Bounds of the repeats that all nodes together may add to a service.
struct RetryBudgetRules
{
    double ratio = 0.2; ///< repeats per request
    double slack = 48; ///< repeats allowed in a window whatever the number of requests
    core::Duration window = std::chrono::seconds(10);

    [[nodiscard]] bool operator==(const RetryBudgetRules &) const = default;
};

/// This node's share of the budget of repeats that all nodes share, by service. A repeat is an attempt that reaches an endpoint
/// after an earlier attempt of the same request has reached one; attempts that were refused on the way are none.
///
/// When more repeats are asked for than are left, they go to the requests of the highest ranks. A chain needs all of its calls, so
/// repeats that are spread evenly over all chains save none of them; by rank, whole chains are saved, the most urgent first.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetRules rules);

    /// Replaces the bounds; what was counted stays.
    void setRules(const RetryBudgetRules &changed);

    /// A request for a service has arrived.
    /// @param isRepeat it was made by a run that repeats an earlier one, so that it counts as a repeat itself
    void countRequest(const std::string &service, bool isRepeat, core::TimePoint now);

    /// Takes one repeat out of the share.
    /// @param rank of the root
    /// @param nodes that share the budget
    /// @returns false if the share is used up, or kept for higher ranks
    [[nodiscard]] bool take(const std::string &service, core::Rank rank, std::size_t nodes, core::TimePoint now);

    /// Rank below which no repeat is given for a service.
    [[nodiscard]] core::Rank threshold(const std::string &service) const;

private:
    static constexpr std::size_t buckets = 64; // of the ranks

    struct Span
    {
        core::TimePoint since {};
        int requests = 0;
        int repeats = 0;
    };

    struct Share
    {
        std::deque<Span> spans;
        std::array<double, buckets> asked {}; // repeats asked for by rank, since the threshold was set
        core::TimePoint thresholdAt {};
        std::size_t lowest = 0; // bucket from which repeats are given
    };

    Share &shareOf(const std::string &service, core::TimePoint now);
    void adjust(Share &share, double allowedPerSecond, core::TimePoint now) const;

    RetryBudgetRules rules;
    std::unordered_map<std::string, Share> services;
};
} // namespace figpulley::routing
