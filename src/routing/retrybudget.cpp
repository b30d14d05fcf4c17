#include "routing/retrybudget.h"

#include <algorithm>
#include <chrono>

namespace figpulley::routing
{
namespace
{
using namespace std::chrono_literals;

constexpr int spansPerWindow = 20; // precision with which the window slides: a twentieth of it
constexpr double spentShare = 0.8; // part of the bound that is spent: nodes count in windows of their own
constexpr core::Duration adjustInterval = 250ms; // some ten calls of a chain
constexpr std::size_t longestStep = 4; // buckets that the threshold falls at once, since chains that are let in ask for more

std::size_t bucketOf(core::Rank rank, std::size_t buckets)
{
    return std::min<std::size_t>(buckets - 1, rank.value() * buckets / core::Rank::end);
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

RetryBudget::Share &RetryBudget::shareOf(const std::string &service, core::TimePoint now)
{
    auto &share = this->services[service];
    const auto length = this->rules.window / spansPerWindow;
    if (share.spans.empty() || now - share.spans.back().since >= length) {
        share.spans.push_back({now, 0, 0});
    }
    while (now - share.spans.front().since > this->rules.window) {
        share.spans.pop_front();
    }
    return share;
}

void RetryBudget::countRequest(const std::string &service, bool isRepeat, core::TimePoint now)
{
    auto &span = this->shareOf(service, now).spans.back();
    ++span.requests;
    span.repeats += isRepeat ? 1 : 0;
}

// Sets the lowest bucket so that what was asked for above it fits.
void RetryBudget::adjust(Share &share, double allowedPerSecond, core::TimePoint now) const
{
    const auto elapsed = core::toSeconds(now - share.thresholdAt);
    if (now - share.thresholdAt < adjustInterval) {
        return;
    }
    const auto room = allowedPerSecond * std::min(elapsed, 1.0);
    std::size_t lowest = buckets;
    double sum = 0;
    while (lowest > 0 && sum + share.asked[lowest - 1] <= room) {
        --lowest;
        sum += share.asked[lowest];
    }
    lowest = std::min(lowest, buckets - 1);
    share.lowest = lowest < share.lowest ? std::max(lowest, share.lowest > longestStep ? share.lowest - longestStep : 0) : lowest;
    share.asked.fill(0);
    share.thresholdAt = now;
}

bool RetryBudget::take(const std::string &service, core::Rank rank, std::size_t nodes, core::TimePoint now)
{
    auto &share = this->shareOf(service, now);
    int requests = 0;
    int repeats = 0;
    for (const auto &span : share.spans) {
        requests += span.requests;
        repeats += span.repeats;
    }
    const auto ownSlack = this->rules.slack / static_cast<double>(std::max<std::size_t>(1, nodes));
    const auto allowed = spentShare * (this->rules.ratio * requests + ownSlack);
    const auto bucket = bucketOf(rank, buckets);
    share.asked[bucket] += 1;
    this->adjust(share, allowed / core::toSeconds(this->rules.window), now);
    if (bucket < share.lowest || repeats + 1 > allowed) {
        return false;
    }
    ++share.spans.back().repeats;
    return true;
}

core::Rank RetryBudget::threshold(const std::string &service) const
{
    const auto found = this->services.find(service);
    const auto lowest = found == this->services.end() ? 0 : found->second.lowest;
    return core::Rank(static_cast<std::uint32_t>(lowest * core::Rank::end / buckets));
}
} // namespace figpulley::routing
