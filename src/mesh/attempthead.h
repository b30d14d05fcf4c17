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
/// What a node tells the node beside an endpoint about an attempt, in one header.
struct AttemptHead
{
    std::string endpointId; ///< that is meant
    std::string service; ///< that the request is for
    std::string originService; ///< of the VM where the request began
    std::string originNode; ///< ip:port of the ingress of the sender
    core::Rank rank; ///< of the root; larger is more urgent
    bool isRepeat = false; ///< an earlier attempt of this request, or of one that led to it, may have run
    bool isIdempotent = false;
    bool isNested = false; ///< made by an endpoint while it runs another request
    core::Duration remaining {}; ///< until the deadline, at sending
    core::Duration objectiveLeft {}; ///< until an answer has less worth; negative when that is past
    std::uint64_t configVersion = 0; ///< in force at the sender

    [[nodiscard]] bool operator==(const AttemptHead &) const = default;
};

/// What the node beside an endpoint reports about an attempt, in one header of the answer.
struct AttemptReport
{
    core::ErrorKind kind = core::ErrorKind::None; ///< None: the answer is the endpoint's
    core::Ran ran = core::Ran::Yes;
    core::Duration retryAfter {}; ///< of a refusal: when room is expected
    routing::EndpointLoad load;
    std::uint64_t configVersion = 0; ///< in force at the node

    [[nodiscard]] bool operator==(const AttemptReport &) const = default;
};

[[nodiscard]] std::string encode(const AttemptHead &head);
[[nodiscard]] std::string encode(const AttemptReport &report);

/// Reads a header of an untrusted peer; every field must be there and in range.
[[nodiscard]] std::optional<AttemptHead> decodeAttemptHead(std::string_view text);
[[nodiscard]] std::optional<AttemptReport> decodeAttemptReport(std::string_view text);
} // namespace figpulley::mesh
