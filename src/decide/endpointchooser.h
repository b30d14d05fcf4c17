#pragma once

#include "board/blackboard.h"
#include "core/errorkind.h"
#include "core/random.h"
#include "core/time.h"

#include <span>
#include <string_view>

namespace figpulley::decide
{
/// Result of an attempt at an endpoint.
struct EndpointReport
{
    core::ErrorKind kind = core::ErrorKind::None;
    core::Duration latency {};
    bool hasThreshold = false; ///< whether the node of the endpoint reported an outcome, and with it a threshold
    core::Rank threshold; ///< maximum threshold of the endpoint and the services below it
};

/// Chooses the endpoint for each attempt by power of two choices: of two random endpoints, the one with the lower expected wait in
/// this node's own statistics.
class EndpointChooser
{
public:
    /// Chooses an endpoint of a service.
    /// @param rank rank of the call; endpoints that would refuse it are skipped while others remain
    /// @param tried nodes that this call has been sent to already; they are skipped
    /// @returns nullptr if no endpoint is usable
    [[nodiscard]] const board::Endpoint *choose(board::Blackboard &board, std::string_view service, core::Rank rank,
                                                std::span<const core::NodeId> tried, core::TimePoint now, core::Random &random) const;

    /// Records that an attempt was sent.
    void recordSent(board::Blackboard &board, const board::Endpoint &endpoint) const;

    /// Records the result of an attempt: outstanding count, threshold, latency and failures.
    void recordResult(board::Blackboard &board, std::string_view service, core::NodeId node, const EndpointReport &report,
                      core::TimePoint now) const;

    /// Whether an endpoint that has not been tried would accept a call of this rank, as far as is known.
    [[nodiscard]] bool hasAcceptingAlternative(const board::Blackboard &board, std::string_view service, core::Rank rank,
                                               std::span<const core::NodeId> tried, core::TimePoint now) const;

private:
    [[nodiscard]] std::vector<const board::Endpoint *> candidates(const board::Blackboard &board, std::string_view service,
                                                                  std::span<const core::NodeId> tried, core::TimePoint now) const;
};
} // namespace figpulley::decide
