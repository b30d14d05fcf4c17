#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_map>

namespace figpulley::mesh
{
/// Requests that a node sent to its endpoint in one reporting interval, by kind and by the node where they entered the system.
struct DispatchCounts
{
    int first = 0; ///< first attempts of clients' requests
    int nested = 0; ///< nested calls that no repeated run has made
    int repeats = 0; ///< requests that may have run before, and nested calls of such runs
    std::unordered_map<std::string, int> byOrigin;

    /// Counts one request.
    /// @returns the name of its kind
    std::string_view add(const std::string &originNode, bool isNested, bool isRepeat)
    {
        ++this->byOrigin[originNode];
        ++(isRepeat ? this->repeats : isNested ? this->nested : this->first);
        return isRepeat ? "repeat" : isNested ? "nested" : "first";
    }

    [[nodiscard]] int total() const noexcept
    {
        return this->first + this->nested + this->repeats;
    }

    /// Largest number of requests from one origin.
    [[nodiscard]] int largestOrigin() const noexcept
    {
        int largest = 0;
        for (const auto &[node, count] : this->byOrigin) {
            largest = std::max(largest, count);
        }
        return largest;
    }
};
} // namespace figpulley::mesh
