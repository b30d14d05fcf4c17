#pragma once

#include "board/blackboard.h"
#include "core/rank.h"
#include "core/time.h"

#include <string_view>

namespace figpulley::decide
{
/// Tracks the threshold that responses report for each path, and sheds calls below it before they are sent, so that calls that would be
/// refused cost no work. A path is the route of the root call and the service called.
class EarlyShedder
{
public:
    /// Whether a call is below the threshold of its path, so that a node further down would refuse it.
    /// @param route route of the root call
    [[nodiscard]] bool shouldShed(const board::Blackboard &board, std::string_view route, std::string_view service, core::Rank rank,
                                  core::TimePoint now) const;

    /// Updates the moving average of a path with the threshold that a response reported.
    void recordThreshold(board::Blackboard &board, std::string_view route, std::string_view service, core::Rank threshold,
                         core::TimePoint now) const;

    /// Returns the current threshold of a path. It decays over time unless responses renew it.
    [[nodiscard]] core::Rank threshold(const board::Blackboard &board, std::string_view route, std::string_view service,
                                       core::TimePoint now) const;
};
} // namespace figpulley::decide
