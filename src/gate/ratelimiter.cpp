#include "gate/ratelimiter.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace figpulley::gate
{
namespace
{
using namespace std::chrono_literals;
using core::Duration;
using core::TimePoint;

// Requests that may start at once are those of this interval. It covers the delays of an event loop under load.
constexpr Duration burstInterval = 100ms;
constexpr Duration startsHalfLife = 500ms;
constexpr double maxUtilization = 4;
// Rounding must not make a token unavailable at the time for which its availability was announced.
constexpr double tokenTolerance = 1e-4;
} // namespace

void RateLimiter::setProbeInterval(Duration interval) noexcept
{
    this->probeInterval = interval;
}

// A bucket begins empty, because requests may have started at any rate before the limit was known.
void RateLimiter::setLimit(std::optional<double> limit, TimePoint now) noexcept
{
    const bool wasLimited = this->perSecond.has_value();
    this->tokens = wasLimited ? this->tokensAt(now) : 0;
    this->recentStarts = this->recentStartsAt(now);
    this->updated = now;
    this->perSecond = limit;
    this->tokens = std::min(this->tokens, this->capacity());
}

std::optional<double> RateLimiter::limit() const noexcept
{
    return this->perSecond;
}

double RateLimiter::rate() const noexcept
{
    return this->perSecond ? std::max(*this->perSecond, 1 / core::toSeconds(this->probeInterval)) : std::numeric_limits<double>::infinity();
}

double RateLimiter::capacity() const noexcept
{
    return std::max(1.0, this->rate() * core::toSeconds(burstInterval));
}

double RateLimiter::tokensAt(TimePoint now) const noexcept
{
    return std::min(this->capacity(), this->tokens + this->rate() * std::max(0.0, core::toSeconds(now - this->updated)));
}

double RateLimiter::recentStartsAt(TimePoint now) const noexcept
{
    return this->recentStarts * std::exp2(-core::toSeconds(now - this->updated) / core::toSeconds(startsHalfLife));
}

bool RateLimiter::isAvailable(TimePoint now) const noexcept
{
    return !this->perSecond || this->tokensAt(now) >= 1 - tokenTolerance;
}

Duration RateLimiter::timeUntilAvailable(double requests, TimePoint now) const noexcept
{
    if (!this->perSecond) {
        return {};
    }
    const auto seconds = std::max(0.0, requests - this->tokensAt(now)) / this->rate();
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

void RateLimiter::consume(TimePoint now) noexcept
{
    this->recentStarts = this->recentStartsAt(now) + 1;
    if (this->perSecond) {
        this->tokens = std::max(0.0, this->tokensAt(now) - 1);
    }
    this->updated = now;
}

double RateLimiter::utilization(TimePoint now) const noexcept
{
    if (!this->perSecond) {
        return 0;
    }
    const auto startsPerSecond = this->recentStartsAt(now) * std::log(2) / core::toSeconds(startsHalfLife);
    return std::min(maxUtilization, startsPerSecond / this->rate());
}
} // namespace figpulley::gate
