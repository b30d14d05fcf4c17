#pragma once

#include "board/blackboard.h"
#include "core/errorkind.h"
#include "core/random.h"
#include "core/time.h"

#include <span>
#include <string_view>

namespace figpulley::decide
{
/// How an attempt at an endpoint ended, as the chooser sees it.
struct EndpointReport
{
    core::ErrorKind kind = core::ErrorKind::None;
    core::Duration latency {};
    bool hasThreshold = false; ///< the endpoint's node answered
    core::Rank threshold; ///< of the endpoint and what lies behind it
};

/// Chooses the endpoint for each attempt from this node's own view: the better of two random ones, by expected wait.
class EndpointChooser
{
public:
    /// @param service service called
    /// @param rank of the call; endpoints that would refuse it are passed over while others remain
    /// @param tried endpoints that this call has used already
    /// @returns nullptr if no endpoint may be used
    [[nodiscard]] const board::Endpoint *choose(board::Blackboard &board, std::string_view service, core::Rank rank,
                                                std::span<const core::NodeId> tried, core::TimePoint now, core::Random &random) const;

    /// An attempt was sent.
    void sent(board::Blackboard &board, const board::Endpoint &endpoint) const;

    /// An attempt has ended.
    void ended(board::Blackboard &board, std::string_view service, core::NodeId node, const EndpointReport &report,
               core::TimePoint now) const;

    /// Whether an endpoint other than those tried would take a call of this rank, as far as is known.
    [[nodiscard]] bool hasOther(const board::Blackboard &board, std::string_view service, core::Rank rank,
                                std::span<const core::NodeId> tried, core::TimePoint now) const;

private:
    [[nodiscard]] std::vector<const board::Endpoint *> candidates(const board::Blackboard &board, std::string_view service,
                                                                  std::span<const core::NodeId> tried, core::TimePoint now) const;
};
} // namespace figpulley::decide
