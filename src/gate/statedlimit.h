#pragma once

#include "core/time.h"

#include <optional>

namespace figpulley::gate
{
/// Rate limit that an endpoint states in its responses, in requests per second for all nodes together. It stays in effect until a
/// response shows that it has ended: an endpoint that sends no responses keeps its limit.
///
/// Responses may be received in another order than they were made. A response without the limit, or with a larger one, therefore counts
/// only if its request was sent after the current limit was last stated. A smaller limit takes effect at once.
class StatedLimit
{
public:
    /// Applies a response of the endpoint.
    /// @param stated limit in the response; nothing if it states none
    /// @param sentAt time at which the request was sent to the endpoint
    /// @returns whether the limit has changed
    bool applyResponse(std::optional<double> stated, core::TimePoint sentAt, core::TimePoint now) noexcept;

    /// Applies a limit that another node has received from the same incarnation of the endpoint. It counts until the endpoint itself
    /// responds to this node, for example after the node has restarted.
    /// @returns whether the limit has changed
    bool applyHint(double hint) noexcept;

    /// Forgets the limit, because another incarnation of the endpoint has started.
    void reset() noexcept;

    /// Limit in effect; nothing if the endpoint accepts any rate.
    [[nodiscard]] std::optional<double> value() const noexcept;

private:
    std::optional<double> current;
    core::TimePoint lastStated {}; // latest response that stated the current limit
    bool hasResponse = false;
};
} // namespace figpulley::gate
