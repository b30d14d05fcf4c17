#pragma once

#include "core/rank.h"
#include "core/time.h"

#include <optional>
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

    /// @param requestId of the request that makes a call
    [[nodiscard]] std::optional<ChainContext> find(std::string_view requestId) const;

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
