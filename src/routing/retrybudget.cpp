#include "routing/retrybudget.h"

#include <algorithm>
#include <chrono>

namespace figpulley::routing
{
namespace
{
using namespace std::chrono_literals;
using core::Duration;

constexpr int slicesPerWindow = 20; // the window slides in steps of a twentieth of its length
// Fraction of the bound that is used, with a margin because the windows of the nodes are not aligned.
constexpr double usableRatio = 0.8;
// Fraction of the requests of an earlier window that counts. The nodes' earlier windows may have had their requests at other nodes, so
// that not all nodes together may use what they had.
constexpr double earlierRatio = 0.8;
constexpr core::Duration thresholdInterval = 250ms; // about the time of ten calls of a chain
// Buckets by which the threshold falls in one step at most, since newly accepted chains request further retries.
constexpr std::size_t maxThresholdDrop = 16;
} // namespace

std::size_t RetryBudget::bucketOf(const RetryClaim &claim) noexcept
{
    const auto level = std::min(claim.rank.level(), core::Rank::maximumLevels - 1);
    const auto progress = std::min(static_cast<std::size_t>(std::max(0, claim.completedCalls)), progressSteps - 1);
    const auto withinLevel = (claim.rank.value() - level * core::Rank::usersPerLevel) * rankSteps / core::Rank::usersPerLevel;
    return level * bucketsPerLevel + progress * rankSteps + std::min<std::size_t>(withinLevel, rankSteps - 1);
}

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
    while (now - budget.slices.front().start > 2 * this->rules.window) {
        budget.slices.pop_front();
    }
    return budget;
}

void RetryBudget::countRequest(const std::string &service, core::TimePoint now)
{
    ++this->currentBudget(service, now).slices.back().requests;
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

// Sums the slices whose age lies between two limits.
RetryBudget::Slice RetryBudget::countSlices(const ServiceBudget &budget, core::TimePoint now, Duration from, Duration to)
{
    Slice sum;
    for (const auto &slice : budget.slices) {
        const auto age = now - slice.start;
        const bool isCounted = age >= from && age <= to;
        sum.requests += isCounted ? slice.requests : 0;
        sum.retries += isCounted ? slice.retries : 0;
    }
    return sum;
}

// Returns the retries that this node may send in a window.
double RetryBudget::allowedRetries(const ServiceBudget &budget, std::size_t nodes, core::TimePoint now) const
{
    const auto window = this->rules.window;
    const auto earlier =
        std::max(countSlices(budget, now, window / 2, window * 3 / 2).requests, countSlices(budget, now, window, window * 2).requests);
    const auto requests = std::max<double>(countSlices(budget, now, Duration {}, window).requests, earlierRatio * earlier);
    const auto nodeSlack = this->rules.slack / static_cast<double>(std::max<std::size_t>(1, nodes));
    return usableRatio * (this->rules.ratio * requests + nodeSlack);
}

bool RetryBudget::tryAcquire(const std::string &service, const RetryClaim &claim, std::size_t nodes, core::TimePoint now)
{
    auto &budget = this->currentBudget(service, now);
    const auto allowed = this->allowedRetries(budget, nodes, now);
    const auto bucket = bucketOf(claim);
    budget.requested[bucket] += 1;
    this->updateThreshold(budget, allowed / core::toSeconds(this->rules.window), now);
    if (bucket < budget.minBucket || countSlices(budget, now, Duration {}, this->rules.window).retries + 1 > allowed) {
        return false;
    }
    ++budget.slices.back().retries;
    return true;
}

std::optional<CallReservation> RetryBudget::tryReserve(const CallReservation::Calls &calls, std::size_t nodes, core::TimePoint now)
{
    for (const auto &[service, count] : calls) {
        const auto &budget = this->currentBudget(service, now);
        if (countSlices(budget, now, Duration {}, this->rules.window).retries + count > this->allowedRetries(budget, nodes, now)) {
            return std::nullopt;
        }
    }
    for (const auto &[service, count] : calls) {
        this->currentBudget(service, now).slices.back().retries += count;
    }
    return CallReservation(calls, [this](const CallReservation::Calls &unused) { this->release(unused); });
}

// Takes unused retries off the latest slices. A reservation that is older than the window has left the count by itself.
void RetryBudget::release(const CallReservation::Calls &unused)
{
    for (const auto &[service, count] : unused) {
        auto rest = count;
        auto &slices = this->budgets[service].slices;
        for (auto slice = slices.rbegin(); slice != slices.rend() && rest > 0; ++slice) {
            const auto taken = std::min(rest, slice->retries);
            slice->retries -= taken;
            rest -= taken;
        }
    }
}
} // namespace figpulley::routing
