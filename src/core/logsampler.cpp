#include "core/logsampler.h"

#include <algorithm>
#include <utility>

namespace figpulley::core
{
LogSampler::LogSampler(double perSecond, double burst)
    : perSecond(perSecond)
    , burst(burst)
{
}

std::optional<std::uint64_t> LogSampler::tryAcquire(std::string_view lineClass, TimePoint now)
{
    const auto [found, isNew] = this->buckets.try_emplace(std::string(lineClass));
    auto &bucket = found->second;
    bucket.tokens = isNew ? this->burst : std::min(this->burst, bucket.tokens + this->perSecond * toSeconds(now - bucket.updated));
    bucket.updated = now;
    if (bucket.tokens < 1) {
        ++bucket.suppressed;
        return std::nullopt;
    }
    bucket.tokens -= 1;
    return std::exchange(bucket.suppressed, 0);
}
} // namespace figpulley::core
