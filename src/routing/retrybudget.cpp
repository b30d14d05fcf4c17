#include "routing/retrybudget.h"

#include <algorithm>
#include <chrono>

namespace figpulley::routing
{
namespace
{
using namespace std::chrono_literals;

constexpr int slicesPerWindow = 20; // the window slides in steps of a twentieth of its length
// Fraction of the bound that is used, with a margin because the windows of the nodes are not aligned.
constexpr double usableRatio = 0.8;
constexpr core::Duration thresholdInterval = 250ms; // about the time of ten calls of a chain
// Buckets by which the threshold falls in one step at most, since newly accepted chains request further retries.
constexpr std::size_t maxThresholdDrop = 4;

std::size_t bucketOf(core::Rank rank, std::size_t bucketCount)
{
    return std::min<std::size_t>(bucketCount - 1, rank.value() * bucketCount / core::Rank::end);
}
} // namespace

RetryBudget::RetryBudget(RetryBudgetRules rules)
    : rules(rules)
{
}

void RetryBudget::setRules(const RetryBudgetRules &changed)
{
    this->rules = changed;
}

RetryBudget::ServiceBudget &RetryBudget::currentBudget(const std::string &service, core::TimePoint now)
{
    auto &budget = this->budgets[service];
    const auto sliceLength = this->rules.window / slicesPerWindow;
    if (budget.slices.empty() || now - budget.slices.back().start >= sliceLength) {
        budget.slices.push_back({now, 0, 0});
    }
    while (now - budget.slices.front().start > this->rules.window) {
        budget.slices.pop_front();
    }
    return budget;
}

void RetryBudget::countRequest(const std::string &service, bool isRetry, core::TimePoint now)
{
    auto &slice = this->currentBudget(service, now).slices.back();
    ++slice.requests;
    slice.retries += isRetry ? 1 : 0;
}

// Sets the lowest accepted bucket so that the retries requested from it upwards fit the allowed rate.
void RetryBudget::updateThreshold(ServiceBudget &budget, double allowedPerSecond, core::TimePoint now) const
{
    const auto elapsed = core::toSeconds(now - budget.thresholdUpdated);
    if (now - budget.thresholdUpdated < thresholdInterval) {
        return;
    }
    const auto available = allowedPerSecond * std::min(elapsed, 1.0);
    std::size_t candidate = bucketCount;
    double sum = 0;
    while (candidate > 0 && sum + budget.requested[candidate - 1] <= available) {
        --candidate;
        sum += budget.requested[candidate];
    }
    candidate = std::min(candidate, bucketCount - 1);
    budget.minBucket = candidate < budget.minBucket
        ? std::max(candidate, budget.minBucket > maxThresholdDrop ? budget.minBucket - maxThresholdDrop : 0)
        : candidate;
    budget.requested.fill(0);
    budget.thresholdUpdated = now;
}

bool RetryBudget::tryAcquire(const std::string &service, core::Rank rank, std::size_t nodes, core::TimePoint now)
{
    auto &budget = this->currentBudget(service, now);
    int requests = 0;
    int retries = 0;
    for (const auto &slice : budget.slices) {
        requests += slice.requests;
        retries += slice.retries;
    }
    const auto nodeSlack = this->rules.slack / static_cast<double>(std::max<std::size_t>(1, nodes));
    const auto allowed = usableRatio * (this->rules.ratio * requests + nodeSlack);
    const auto bucket = bucketOf(rank, bucketCount);
    budget.requested[bucket] += 1;
    this->updateThreshold(budget, allowed / core::toSeconds(this->rules.window), now);
    if (bucket < budget.minBucket || retries + 1 > allowed) {
        return false;
    }
    ++budget.slices.back().retries;
    return true;
}

core::Rank RetryBudget::threshold(const std::string &service) const
{
    const auto found = this->budgets.find(service);
    const auto minBucket = found == this->budgets.end() ? 0 : found->second.minBucket;
    return core::Rank(static_cast<std::uint32_t>(minBucket * core::Rank::end / bucketCount));
}
} // namespace figpulley::routing
