#pragma once

#include "core/time.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <fmt/format.h>

namespace figpulley::soak
{
/// Checks that the nodes respect what one endpoint states about itself: its rate limit, and that it is leaving. A statement binds the
/// nodes that have passed on a response with it. A node that was stopped or paused since then is not bound.
class StatementCheck
{
public:
    /// Records the limit that the endpoint states from now on.
    void setLimit(std::optional<double> perSecond, core::TimePoint now)
    {
        this->limits.push_back({now, perSecond});
    }

    /// Records that a node has passed on a response that states a limit or a departure.
    void recordPassedOn(const std::string &node, bool hasLimit, bool isLeaving, core::TimePoint now)
    {
        if (hasLimit) {
            this->limitKnownSince.try_emplace(node, now);
        }
        if (isLeaving) {
            this->departureKnownSince.try_emplace(node, now);
        }
    }

    /// Forgets what a node knows, because it was stopped or paused.
    void excuse(const std::string &node)
    {
        this->limitKnownSince.erase(node);
        this->departureKnownSince.erase(node);
    }

    /// Forgets everything, because another incarnation of the endpoint has started.
    void restart()
    {
        *this = {};
    }

    /// Records a request that reaches the endpoint.
    /// @param node node at which the request entered the system
    /// @param sent time at which its client sent it
    /// @returns the violation, or an empty string
    [[nodiscard]] std::string recordArrival(const std::string &node, core::TimePoint sent, core::TimePoint now)
    {
        const auto departure = this->departureKnownSince.find(node);
        if (departure != this->departureKnownSince.end() && sent > departure->second + drainTime) {
            return fmt::format("a request from {} that was sent {} ms after it had passed on the departure", node,
                               core::toMilliseconds(sent - departure->second));
        }
        const auto known = this->limitKnownSince.find(node);
        if (known == this->limitKnownSince.end() || now < known->second + knowledgeDelay) {
            return {};
        }
        this->arrivals.push_back(now);
        while (this->arrivals.front() <= now - window) {
            this->arrivals.pop_front();
        }
        const auto highest = this->highestLimit(now);
        if (highest && static_cast<double>(this->arrivals.size()) > 1.5 * *highest * core::toSeconds(window) + 5) {
            const auto count = this->arrivals.size();
            this->arrivals.clear(); // reports each excess once
            return fmt::format("{} requests in 4 s at a limit of {} per second", count, *highest);
        }
        return {};
    }

private:
    struct LimitChange
    {
        core::TimePoint since;
        std::optional<double> perSecond;
    };

    // Highest limit in the window before now; a changed limit counts once the nodes have had time to learn of it. Returns nothing if
    // the endpoint had no limit for a part of that time.
    [[nodiscard]] std::optional<double> highestLimit(core::TimePoint now) const
    {
        const auto begin = now - window - stabilityTime;
        std::optional<double> highest;
        for (std::size_t at = this->limits.size(); at-- > 0;) {
            if (!this->limits[at].perSecond) {
                return std::nullopt;
            }
            highest = std::max(highest.value_or(0), *this->limits[at].perSecond);
            if (this->limits[at].since <= begin) {
                return highest;
            }
        }
        return std::nullopt;
    }

    static constexpr core::Duration window = std::chrono::seconds(4);
    static constexpr core::Duration stabilityTime = std::chrono::seconds(3);
    static constexpr core::Duration knowledgeDelay = std::chrono::milliseconds(500);
    static constexpr core::Duration drainTime = std::chrono::seconds(2);

    std::deque<LimitChange> limits;
    std::deque<core::TimePoint> arrivals; // of nodes that know the limit, within the window
    std::map<std::string, core::TimePoint> limitKnownSince; // by node
    std::map<std::string, core::TimePoint> departureKnownSince; // by node
};
} // namespace figpulley::soak
