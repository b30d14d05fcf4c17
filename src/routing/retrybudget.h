#pragma once

#include "core/rank.h"
#include "core/time.h"
#include "routing/callreservation.h"

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
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

/// What decides which requests get the retries of a budget that does not suffice for all.
struct RetryClaim
{
    core::Rank rank; ///< rank of the root call
    int completedCalls = 0; ///< calls that the run which makes the request has completed before
};

/// This node's part of the retry budget that all nodes share, by service. Retries are bounded by the requests of the current window, of the
/// one before it or of the one half a window before it, so that the budget does not vanish with the requests when chains fail early. A
/// retry is an attempt that reaches an endpoint after an earlier attempt of the same request has reached one; attempts that were refused
/// before they reached an endpoint do not count.
///
/// When more retries are requested than the budget allows, they go to the highest priority, within it to the chains that have completed
/// most calls, as these need the fewest further ones, and then to the highest ranks. A chain needs all of its calls, so retries that are
/// spread evenly over all chains would complete none of them.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetRules rules);

    /// Replaces the bounds and keeps the counts.
    void setRules(const RetryBudgetRules &changed);

    /// Counts a request for a service. One that the run of a repeated request makes is a retry instead, and must be acquired.
    void countRequest(const std::string &service, core::TimePoint now);

    /// Acquires one retry from this node's part of the budget.
    /// @param nodes number of nodes that share the budget
    /// @returns false if this node's part is used up or reserved for more important claims
    [[nodiscard]] bool tryAcquire(const std::string &service, const RetryClaim &claim, std::size_t nodes, core::TimePoint now);

    /// Acquires the retries that the run of a repeated request needs for its calls, of all services or of none.
    /// @param calls expected calls by service
    /// @returns nothing if the part of this node does not suffice for one of the services
    [[nodiscard]] std::optional<CallReservation> tryReserve(const CallReservation::Calls &calls, std::size_t nodes, core::TimePoint now);

private:
    // Buckets of the histogram of claims: by priority level, then by completed calls, then by the user's part of the rank.
    static constexpr std::size_t progressSteps = 4;
    static constexpr std::size_t rankSteps = 8;
    static constexpr std::size_t bucketsPerLevel = progressSteps * rankSteps;
    static constexpr std::size_t bucketCount = bucketsPerLevel * core::Rank::maximumLevels;

    [[nodiscard]] static std::size_t bucketOf(const RetryClaim &claim) noexcept;

    struct Slice
    {
        core::TimePoint start {};
        int requests = 0;
        int retries = 0;
    };

    struct ServiceBudget
    {
        std::deque<Slice> slices;
        std::array<double, bucketCount> requested {}; // retries requested by bucket since thresholdUpdated
        core::TimePoint thresholdUpdated {};
        std::size_t minBucket = 0; // lowest bucket for which retries are granted
    };

    [[nodiscard]] static Slice countSlices(const ServiceBudget &budget, core::TimePoint now, core::Duration from, core::Duration to);
    [[nodiscard]] double allowedRetries(const ServiceBudget &budget, std::size_t nodes, core::TimePoint now) const;
    void release(const CallReservation::Calls &unused);
    ServiceBudget &currentBudget(const std::string &service, core::TimePoint now);
    void updateThreshold(ServiceBudget &budget, double allowedPerSecond, core::TimePoint now) const;

    RetryBudgetRules rules;
    std::unordered_map<std::string, ServiceBudget> budgets;
};
} // namespace figpulley::routing
