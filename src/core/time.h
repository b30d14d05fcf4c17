#pragma once

#include <chrono>
#include <cstdint>

namespace figpulley::core
{
/// Duration type of all decisions, with a resolution of one microsecond.
using Duration = std::chrono::microseconds;

/// Instant on the monotonic clock. Decisions receive it as a parameter, so that tests can supply virtual time.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Converts a duration to fractional seconds.
[[nodiscard]] constexpr double toSeconds(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

/// Converts a duration to whole milliseconds, rounded towards zero.
[[nodiscard]] constexpr std::int64_t toMilliseconds(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Reads the monotonic clock. Only adapters call it; decisions receive the time as a parameter.
[[nodiscard]] inline TimePoint steadyNow() noexcept
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}
} // namespace figpulley::core
