#pragma once

#include <cstdint>
#include <functional>
#include <vector>

namespace figpulley::store
{
/// Latest era of the store that this node knows of. A store that is restored from a backup begins a new era: it has lost its latest
/// changes, and revisions of earlier eras mean nothing to it.
class EraTracker
{
public:
    /// Called after the response that has shown a later era was delivered.
    /// @param earlier era before; 0 if none was known
    using Listener = std::function<void(std::uint64_t earlier, std::uint64_t current)>;

    void addListener(Listener listener);

    /// Delivers a response of an era, and calls the listeners if the era is later than all before.
    /// @param era era that the response states; 0 if it states none, which counts as the current one
    /// @returns false if the era has ended; then the response is not delivered
    bool deliver(std::uint64_t era, const std::function<void()> &response);

    /// @returns the latest known era, 0 if no response has stated one
    [[nodiscard]] std::uint64_t current() const noexcept;

private:
    std::vector<Listener> listeners;
    std::uint64_t latest = 0;
};
} // namespace figpulley::store
