#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace figpulley::core
{
/// Limits the rate of log lines of each class with a token bucket, and counts the suppressed lines.
class LogSampler
{
public:
    /// @param perSecond sustained rate of a class, in lines per second
    /// @param burst number of lines of a class that may be written at once
    LogSampler(double perSecond, double burst);

    /// Decides whether a line may be written.
    /// @param lineClass event and kind, from a bounded set
    /// @returns number of lines of this class suppressed since the last one that was written, or nothing if this line is suppressed too
    [[nodiscard]] std::optional<std::uint64_t> tryAcquire(std::string_view lineClass, TimePoint now);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint updated {};
        std::uint64_t suppressed = 0;
    };

    double perSecond;
    double burst;
    std::unordered_map<std::string, Bucket> buckets;
};
} // namespace figpulley::core
