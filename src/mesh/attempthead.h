#pragma once

#include "core/errorkind.h"
#include "core/rank.h"
#include "core/time.h"
#include "routing/endpointpicker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::mesh
{
/// Metadata of one attempt, sent in one request header to the node of the endpoint.
struct AttemptHead
{
    std::string endpointId; ///< only endpoint that may run the request
    std::string service; ///< service that the request is for
    std::string originService; ///< service of the VM that sends the request
    std::string originNode; ///< ip:port of the sender's ingress
    core::Rank rank; ///< rank of the root call; requests of larger ranks are served first
    bool isRepeat = false; ///< an earlier attempt of this request or of one above it in the chain may have run
    bool isIdempotent = false;
    bool isNested = false; ///< the request is made by an endpoint while it runs another one
    core::Duration remaining {}; ///< time from sending until the deadline
    core::Duration objectiveLeft {}; ///< time left until the route's latency objective is missed; negative afterwards
    std::uint64_t configVersion = 0; ///< version of the sender's active configuration

    [[nodiscard]] bool operator==(const AttemptHead &) const = default;
};

/// Outcome of one attempt, returned by the node of the endpoint in one response header.
struct AttemptReport
{
    core::ErrorKind kind = core::ErrorKind::None; ///< None if the response comes from the endpoint
    core::Ran ran = core::Ran::Yes;
    core::Duration retryAfter {}; ///< for a refusal, delay after which free capacity is expected
    routing::EndpointLoad load;
    std::uint64_t configVersion = 0; ///< version of the node's active configuration

    [[nodiscard]] bool operator==(const AttemptReport &) const = default;
};

[[nodiscard]] std::string encode(const AttemptHead &head);
[[nodiscard]] std::string encode(const AttemptReport &report);

/// Decodes a header of an untrusted peer. Returns nothing unless all fields are present and in range.
[[nodiscard]] std::optional<AttemptHead> decodeAttemptHead(std::string_view text);
[[nodiscard]] std::optional<AttemptReport> decodeAttemptReport(std::string_view text);
} // namespace figpulley::mesh
