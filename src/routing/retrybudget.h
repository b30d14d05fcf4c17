#pragma once

#include "core/time.h"

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
/// after an earlier attempt of the same request may have run; attempts that were refused unsent are none.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetRules rules);

    /// A request for a service has arrived from a client.
    void countRequest(const std::string &service, core::TimePoint now);

    /// Takes one repeat out of the share.
    /// @param nodes that share the budget
    /// @returns false if the share is used up
    [[nodiscard]] bool take(const std::string &service, std::size_t nodes, core::TimePoint now);

private:
    struct Span
    {
        core::TimePoint since {};
        int requests = 0;
        int repeats = 0;
    };

    std::deque<Span> &spansOf(const std::string &service, core::TimePoint now);

    RetryBudgetRules rules;
    std::unordered_map<std::string, std::deque<Span>> services;
};
} // namespace figpulley::routing
