#pragma once

#include "core/rank.h"
#include "core/time.h"
#include "routing/callprofile.h"
#include "routing/callreservation.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace figpulley::routing
{
/// Properties of a request that the nested calls of its run inherit.
struct ChainContext
{
    core::Rank rank; ///< rank of the root call; under overload, higher ranks are served first
    bool isRetry = false; ///< the run may repeat an earlier one, so its nested calls may repeat earlier calls
    bool isNested = false; ///< the request is itself a nested call, and the run that made it waits for it
    int completedCalls = 0; ///< nested calls that the run which made it has completed before

    [[nodiscard]] bool operator==(const ChainContext &) const = default;
};

/// Requests that the endpoint on this VM is running, by id, so that their nested calls keep the rank of the root call.
class ChainTable
{
public:
    /// Adds a request that the endpoint starts to run.
    /// @param reservation retries that its calls may use if it is a repeated one
    void addRun(const std::string &requestId, const ChainContext &context, CallReservation reservation = {});

    /// Removes a request that has ended.
    /// @param isAnswered whether the endpoint has responded, so that it has made all calls that it needs
    /// @returns the time that it spent waiting for its nested calls; zero if the request is unknown
    core::Duration removeRun(const std::string &requestId, bool isAnswered);

    /// Counts a nested call of a request that is running.
    /// @returns whether the retry that the call is was acquired in advance
    bool beginNestedCall(std::string_view requestId, const std::string &service);

    /// Calls that a run is expected to make, by service.
    [[nodiscard]] CallReservation::Calls expectedCalls() const;

    /// Adds an ended nested call to the request that made it; ignored if the request is unknown.
    void addNestedCall(std::string_view requestId, core::Duration duration, bool isCompleted);

    /// Returns the context of a request that arrives from this VM: the inherited one for a nested call, a new one for a root call.
    /// @param parentId id of the request whose run makes the call; empty for a root call
    /// @param requestId id of the request itself
    /// @param priority priority of its route; 0 is the highest
    [[nodiscard]] ChainContext contextOf(std::string_view parentId, std::string_view requestId, int priority) const;

private:
    struct ActiveRun
    {
        ChainContext context;
        core::Duration nestedTime {};
        CallReservation::Calls calls;
        CallReservation reservation;
    };

    std::unordered_map<std::string, ActiveRun> activeRuns;
    CallProfile profile;
};

/// Computes the rank of a root call.
/// @param priority priority of its route; 0 is the highest
/// @param requestId id whose hash orders the root calls of one priority in the same way on each hop
[[nodiscard]] core::Rank rootRank(int priority, std::string_view requestId) noexcept;
} // namespace figpulley::routing
