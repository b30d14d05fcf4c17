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
/// Metadata of an attempt that a node sends along with it, in the `Figpulley-Call` header.
struct CallEnvelope
{
    AttemptId attempt {};
    std::uint64_t root = 0; ///< identifier of the root call, the same on every hop
    std::string service; ///< service that the attempt calls
    std::string route; ///< name of the root call's route
    Rank rank;
    int retryBudget = 0; ///< number of retries that the callee and its nested calls may spend
    Duration remaining {}; ///< time left until the deadline when the attempt is sent
    bool isIdempotent = false;
    Incarnation target {}; ///< incarnation of the node that the attempt is addressed to

    [[nodiscard]] bool operator==(const CallEnvelope &) const = default;
};

/// Outcome of an attempt that the called node returns, in the `Figpulley-Outcome` header.
struct CallOutcome
{
    ErrorKind kind = ErrorKind::None;
    Ran ran = Ran::Yes;
    int retriesSpent = 0; ///< number of retries spent of the attempt's budget
    Rank threshold; ///< rank below which some service on this path sheds calls
    bool isRetryWorthwhile = false; ///< whether another endpoint of the same service may accept the call

    [[nodiscard]] bool operator==(const CallOutcome &) const = default;
};

/// Encodes an envelope as one line of JSON.
[[nodiscard]] std::string encode(const CallEnvelope &envelope);

/// Encodes an outcome as one line of JSON.
[[nodiscard]] std::string encode(const CallOutcome &outcome);

/// Decodes a `Figpulley-Call` header; every field must be present and in range.
/// @param text value of the header, from an untrusted peer
/// @returns the envelope, or nothing if the text is malformed
[[nodiscard]] std::optional<CallEnvelope> decodeEnvelope(std::string_view text);

/// Decodes a `Figpulley-Outcome` header; every field must be present, and an unknown value of `ran` is read as Ran::Unknown.
/// @returns the outcome, or nothing if the text is malformed
[[nodiscard]] std::optional<CallOutcome> decodeOutcome(std::string_view text);
} // namespace figpulley::core
