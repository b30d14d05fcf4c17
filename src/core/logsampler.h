#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace figpulley::core
{
/// Bounds the rate of log lines of one class, and counts what it leaves out.
class LogSampler
{
public:
    /// @param perSecond lines of a class
    /// @param burst lines of a class at once
    LogSampler(double perSecond, double burst);

    /// Asks for one line.
    /// @param lineClass event and kind, from a bounded set
    /// @returns lines of this class left out since the last one that was written, or nothing if this one is left out as well
    [[nodiscard]] std::optional<std::uint64_t> take(std::string_view lineClass, TimePoint now);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint updated {};
        std::uint64_t leftOut = 0;
    };

    double perSecond;
    double burst;
    std::unordered_map<std::string, Bucket> buckets;
};
} // namespace figpulley::core
