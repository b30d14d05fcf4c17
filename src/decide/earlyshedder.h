#pragma once

#include "board/blackboard.h"
#include "core/rank.h"
#include "core/time.h"

#include <string_view>

namespace figpulley::decide
{
/// Learns from answers which calls a path refuses, and refuses them before they cost anything.
class EarlyShedder
{
public:
    /// Whether a call would be refused further down.
    /// @param route route of the root
    /// @param service service called
    [[nodiscard]] bool isShed(const board::Blackboard &board, std::string_view route, std::string_view service, core::Rank rank,
                              core::TimePoint now) const;

    /// Takes the threshold that an answer carried.
    void learn(board::Blackboard &board, std::string_view route, std::string_view service, core::Rank threshold, core::TimePoint now) const;

    /// The threshold in force for a path; falls with time when no answer confirms it.
    [[nodiscard]] core::Rank threshold(const board::Blackboard &board, std::string_view route, std::string_view service,
                                       core::TimePoint now) const;
};
} // namespace figpulley::decide
