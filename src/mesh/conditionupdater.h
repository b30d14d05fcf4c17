#pragma once

#include "mesh/meshboard.h"
#include "mesh/wireformat.h"
#include "routing/endpointcondition.h"

#include <cstdint>
#include <string_view>

namespace figpulley::mesh
{
/// Maintains the rate limit of the endpoint on this VM. It belongs to the incarnation in the endpoint's record; what concerns another
/// incarnation is ignored.
class ConditionUpdater
{
public:
    explicit ConditionUpdater(MeshBoard &board);

    /// Forgets the limit if the endpoint's record shows another incarnation than before.
    /// @returns whether the limit has changed
    bool followRecord();

    /// Applies a response of the endpoint.
    /// @param sentAt time at which the request was sent to the endpoint
    /// @returns whether the limit has changed
    bool applyResponse(const UpstreamReply &reply, core::TimePoint sentAt, core::TimePoint now);

    /// Applies the limit that another node knows, in case this node has restarted since the endpoint stated it.
    /// @returns whether the limit has changed
    bool applyHint(const routing::EndpointCondition &hint);

    /// Whether an incarnation is the one in the endpoint's record.
    [[nodiscard]] bool isCurrent(std::string_view endpointId, std::int64_t incarnation) const;

    /// Rate limit in effect, in requests per second; nothing if the endpoint accepts any rate.
    [[nodiscard]] std::optional<double> rateLimit() const;

private:
    MeshBoard &board;
};
} // namespace figpulley::mesh
