#pragma once

#include "core/errorkind.h"
#include "core/ids.h"
#include "core/rank.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace figpulley::core
{
/// What one node tells another about an attempt, in the `Figpulley-Call` header.
struct CallEnvelope
{
    AttemptId attempt {};
    std::uint64_t root = 0; ///< names the root call on every hop
    std::string service; ///< service that the attempt is for
    std::string route; ///< name of the root's route
    Rank rank;
    int retryBudget = 0; ///< retries lent to the callee's subtree
    Duration remaining {}; ///< time left until the deadline, at sending
    bool isIdempotent = false;
    Incarnation target {}; ///< life of the node that is meant

    [[nodiscard]] bool operator==(const CallEnvelope &) const = default;
};

/// What a node reports back about an attempt, in the `Figpulley-Outcome` header.
struct CallOutcome
{
    ErrorKind kind = ErrorKind::None;
    Ran ran = Ran::Yes;
    int retriesSpent = 0; ///< of the budget that was lent
    Rank threshold; ///< calls below it are shed somewhere on this path
    bool isRetryWorthwhile = false; ///< another endpoint of the same service may take the call

    [[nodiscard]] bool operator==(const CallOutcome &) const = default;
};

/// Encodes an envelope as one line of JSON.
[[nodiscard]] std::string encode(const CallEnvelope &envelope);

/// Encodes an outcome as one line of JSON.
[[nodiscard]] std::string encode(const CallOutcome &outcome);

/// Decodes a `Figpulley-Call` header; every field must be present and in range.
/// @param text the header's value, from an untrusted peer
/// @returns the envelope, or nothing if the text is malformed
[[nodiscard]] std::optional<CallEnvelope> decodeEnvelope(std::string_view text);

/// Decodes a `Figpulley-Outcome` header.
[[nodiscard]] std::optional<CallOutcome> decodeOutcome(std::string_view text);
} // namespace figpulley::core
