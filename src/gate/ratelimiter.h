#pragma once

#include "core/time.h"

#include <chrono>
#include <optional>

namespace figpulley::gate
{
/// Token bucket that keeps the requests to one endpoint within a rate. Without a limit every request may start.
class RateLimiter
{
public:
    /// Sets the interval at which requests start even if the limit allows fewer, since only the response to a request can show that the
    /// limit has ended.
    void setProbeInterval(core::Duration interval) noexcept;

    /// Sets the limit in requests per second; nothing for no limit.
    void setLimit(std::optional<double> perSecond, core::TimePoint now) noexcept;

    [[nodiscard]] std::optional<double> limit() const noexcept;

    /// Rate at which requests may start, in requests per second; infinity without a limit.
    [[nodiscard]] double rate() const noexcept;

    /// Whether a request may start now.
    [[nodiscard]] bool isAvailable(core::TimePoint now) const noexcept;

    /// Time after which a number of requests may have started.
    [[nodiscard]] core::Duration timeUntilAvailable(double requests, core::TimePoint now) const noexcept;

    /// Records the start of a request.
    void consume(core::TimePoint now) noexcept;

    /// Recent rate of requests relative to the limit; 0 without a limit.
    [[nodiscard]] double utilization(core::TimePoint now) const noexcept;

private:
    [[nodiscard]] double capacity() const noexcept;
    [[nodiscard]] double tokensAt(core::TimePoint now) const noexcept;
    [[nodiscard]] double recentStartsAt(core::TimePoint now) const noexcept;

    std::optional<double> perSecond;
    core::Duration probeInterval = std::chrono::seconds(5);
    double tokens = 0;
    double recentStarts = 0; // exponentially decayed number of started requests
    core::TimePoint updated {};
};
} // namespace figpulley::gate
