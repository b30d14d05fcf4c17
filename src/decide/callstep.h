#pragma once

#include "core/envelope.h"
#include "core/errorkind.h"
#include "core/ids.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <variant>

namespace figpulley::decide
{
/// Properties of a call that arrives at the egress.
struct CallRequest
{
    std::string service;
    std::string method; ///< in upper case
    std::string path; ///< without the query
    std::string user; ///< value of the user header; empty if absent
    bool isNested = false; ///< whether the call arrived at the listener for this VM's own upstream
    std::optional<core::EntryId> parent; ///< entry of the parent call, if a header of the call names it
    std::uint64_t traceLow = 0; ///< low half of the W3C trace id; identifies the parent if no header names it
    std::optional<core::Duration> timeout; ///< client timeout; can only shorten the deadline
};

/// Step: send an attempt to the node of an endpoint.
struct SendAttempt
{
    core::CallEnvelope envelope;
    core::NodeId node {};
    std::string address;
    core::TimePoint deadline {};
};

/// Step: wait, then call the controller again.
struct WaitBeforeRetry
{
    core::Duration delay {};
};

/// Step: respond to the caller, with the upstream's response if `kind` is None, otherwise with an error of figpulley.
struct FinishCall
{
    core::CallOutcome outcome;
};

/// What the caller of CallController does next.
using CallStep = std::variant<SendAttempt, WaitBeforeRetry, FinishCall>;

/// Result of an attempt, as seen by the transport.
struct AttemptResult
{
    core::ErrorKind kind = core::ErrorKind::None; ///< transport error, or None if the node responded
    std::optional<core::CallOutcome> outcome; ///< outcome that the node reported; empty without a report
    core::TimePoint now {};
};
} // namespace figpulley::decide
