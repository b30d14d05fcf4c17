#pragma once

#include "core/time.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace figpulley::routing
{
/// Estimates how much time clients have already spent on earlier attempts of their requests. Clients send their remaining timeout, and
/// the clients of a route start with the same one, so a client that retries after a refusal is recognised by a shorter remaining timeout.
class ClientTimeoutHistory
{
public:
    /// Records the arrival of a client's attempt and estimates the time spent on earlier ones.
    /// @param remainingTimeout time that the client will still wait
    /// @returns time that the client has spent on earlier attempts; zero for a first attempt
    [[nodiscard]] core::Duration estimateTimeSpent(const std::string &route, core::Duration remainingTimeout, core::TimePoint now);

    /// Forgets routes that are no longer configured.
    void retain(const std::unordered_set<std::string> &configured);

    /// Returns the number of routes whose timeouts are kept.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct MaxTimeouts
    {
        core::Duration current {}; // maximum in the current window
        core::Duration previous {}; // maximum in the window before
        core::TimePoint windowStart {};
    };

    std::unordered_map<std::string, MaxTimeouts> routes;
};
} // namespace figpulley::routing
