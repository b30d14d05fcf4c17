#include "decide/retrycontroller.h"

#include <algorithm>
#include <chrono>

namespace figpulley::decide
{
namespace
{
using namespace std::chrono_literals;

constexpr core::Duration initialBackoffBound = 4ms;
constexpr int maxDoublings = 6;
} // namespace

bool RetryController::takeToken(board::Blackboard &board, std::string_view service, core::TimePoint now) const
{
    const auto &policy = board.config.read().current->overload.forService(service);
    auto &buckets = board.retry.write().buckets;
    auto found = buckets.find(service);
    if (found == buckets.end()) {
        found = buckets.emplace(std::string(service), board::TokenBucket {}).first;
    }
    auto &bucket = found->second;
    if (!bucket.isInitialised) {
        bucket.tokens = policy.retryBurst;
        bucket.isInitialised = true;
    } else {
        bucket.tokens += core::toSeconds(now - bucket.updated) * policy.retryRate;
    }
    bucket.tokens = std::min<double>(bucket.tokens, policy.retryBurst);
    bucket.updated = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

core::Duration RetryController::backoffDelay(int attempts, core::Random &random)
{
    const auto doublings = std::clamp(attempts - 1, 0, maxDoublings);
    const auto bound = initialBackoffBound * (1 << doublings);
    return core::Duration(static_cast<std::int64_t>(core::uniform(random) * static_cast<double>(bound.count())));
}
} // namespace figpulley::decide
