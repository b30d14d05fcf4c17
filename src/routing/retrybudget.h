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
/// Bounds of the retries that all nodes together may send to a service.
struct RetryBudgetRules
{
    double ratio = 0.2; ///< retries per request
    double slack = 48; ///< retries allowed per window regardless of the number of requests
    core::Duration window = std::chrono::seconds(10); ///< length of the sliding window

    [[nodiscard]] bool operator==(const RetryBudgetRules &) const = default;
};

/// This node's part of the retry budget that all nodes share, by service. A retry is an attempt that reaches an endpoint after an earlier
/// attempt of the same request has reached one; attempts that were refused before they reached an endpoint do not count.
///
/// When more retries are requested than the budget allows, they go to the requests with the highest ranks. A chain needs all of its calls,
/// so retries that are spread evenly over all chains would complete none of them; by rank, whole chains complete, highest priority first.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetRules rules);

    /// Replaces the bounds and keeps the counts.
    void setRules(const RetryBudgetRules &changed);

    /// Counts a request for a service.
    /// @param isRetry whether the run that made the request may repeat an earlier one, so that the request counts as a retry
    void countRequest(const std::string &service, bool isRetry, core::TimePoint now);

    /// Acquires one retry from this node's part of the budget.
    /// @param rank rank of the root call
    /// @param nodes number of nodes that share the budget
    /// @returns false if this node's part is used up or reserved for higher ranks
    [[nodiscard]] bool tryAcquire(const std::string &service, core::Rank rank, std::size_t nodes, core::TimePoint now);

    /// Returns the rank below which retries for a service are denied.
    [[nodiscard]] core::Rank threshold(const std::string &service) const;

private:
    static constexpr std::size_t bucketCount = 64; // buckets of the rank histogram

    struct Slice
    {
        core::TimePoint start {};
        int requests = 0;
        int retries = 0;
    };

    struct ServiceBudget
    {
        std::deque<Slice> slices;
        std::array<double, bucketCount> requested {}; // retries requested by rank bucket since thresholdUpdated
        core::TimePoint thresholdUpdated {};
        std::size_t minBucket = 0; // lowest bucket for which retries are granted
    };

    ServiceBudget &currentBudget(const std::string &service, core::TimePoint now);
    void updateThreshold(ServiceBudget &budget, double allowedPerSecond, core::TimePoint now) const;

    RetryBudgetRules rules;
    std::unordered_map<std::string, ServiceBudget> budgets;
};
} // namespace figpulley::routing
