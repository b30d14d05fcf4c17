#include "routing/retrybudget.h"

#include <algorithm>

namespace figpulley::routing
{
namespace
{
constexpr int spansPerWindow = 20; // precision with which the window slides: a twentieth of it

// Part of the bound that is spent: nodes count in windows of their own, and a repeated run repeats its nested calls, which
// cannot be told from first ones by the nodes that pass them on.
constexpr double spentShare = 0.6;
} // namespace

RetryBudget::RetryBudget(RetryBudgetRules rules)
    : rules(rules)
{
}

std::deque<RetryBudget::Span> &RetryBudget::spansOf(const std::string &service, core::TimePoint now)
{
    auto &spans = this->services[service];
    const auto length = this->rules.window / spansPerWindow;
    if (spans.empty() || now - spans.back().since >= length) {
        spans.push_back({now, 0, 0});
    }
    while (now - spans.front().since > this->rules.window) {
        spans.pop_front();
    }
    return spans;
}

void RetryBudget::countRequest(const std::string &service, core::TimePoint now)
{
    ++this->spansOf(service, now).back().requests;
}

bool RetryBudget::take(const std::string &service, std::size_t nodes, core::TimePoint now)
{
    auto &spans = this->spansOf(service, now);
    int requests = 0;
    int repeats = 0;
    for (const auto &span : spans) {
        requests += span.requests;
        repeats += span.repeats;
    }
    const auto share = static_cast<double>(std::max<std::size_t>(1, nodes));
    const auto allowed = spentShare * (this->rules.ratio * requests + this->rules.slack / share);
    if (repeats + 1 > allowed) {
        return false;
    }
    ++spans.back().repeats;
    return true;
}
} // namespace figpulley::routing
