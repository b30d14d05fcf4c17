#pragma once

#include "core/rank.h"
#include "core/time.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace figpulley::routing
{
/// What a request hands down to the calls that its run makes.
struct ChainContext
{
    core::Rank rank; ///< of the root; decides who is served when there is not room for all
    bool isRepeat = false; ///< the run repeats an earlier one, so its calls repeat earlier calls
    bool isNested = false; ///< the request itself is a call of a run, which waits for it

    [[nodiscard]] bool operator==(const ChainContext &) const = default;
};

/// Requests that the endpoint on this VM runs now, by id, so that the calls it makes keep the rank of their root.
class ChainTable
{
public:
    void begin(const std::string &requestId, const ChainContext &context);

    /// @returns the time that the request has spent waiting for its calls
    core::Duration end(const std::string &requestId);

    /// A call of a request has ended.
    void addNested(std::string_view requestId, core::Duration duration);

    /// What a request that arrives from this VM starts with: what the run that makes it hands down, or its own as a root.
    /// @param parentId of the request that makes it; empty for a root
    /// @param requestId its own
    /// @param priority of its route, 0 is the most urgent
    [[nodiscard]] ChainContext contextOf(std::string_view parentId, std::string_view requestId, int priority) const;

private:
    struct Running
    {
        ChainContext context;
        core::Duration nested {};
    };

    std::unordered_map<std::string, Running> running;
};

/// Rank of a root.
/// @param priority of its route, 0 is the most urgent
/// @param requestId spreads the roots of one priority, the same on each hop
[[nodiscard]] core::Rank rootRank(int priority, std::string_view requestId) noexcept;
} // namespace figpulley::routing
