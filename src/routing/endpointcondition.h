#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace figpulley::routing
{
/// What one incarnation of an endpoint states about itself, with the use of its rate limit. Nodes exchange it with their attempts.
struct EndpointCondition
{
    std::string endpointId;
    std::int64_t incarnation = 0; ///< Unix milliseconds of the endpoint's start
    std::optional<double> rateLimit; ///< requests per second that the endpoint accepts from all nodes together; empty for no limit
    double utilization = 0; ///< recent rate of requests relative to the limit
    core::Duration availableIn {}; ///< time until the limit allows a further request
    bool isLeaving = false; ///< the incarnation accepts no new requests any more

    [[nodiscard]] bool operator==(const EndpointCondition &) const = default;
};
} // namespace figpulley::routing
