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
/// A call as it reaches the egress.
struct CallRequest
{
    std::string service;
    std::string method; ///< in capitals
    std::string path; ///< without query
    std::string user; ///< content of the user header; empty if absent
    bool isNested = false; ///< came in on the face for this VM's own upstream
    std::optional<core::EntryId> parent; ///< named by a header of the call
    std::uint64_t traceLow = 0; ///< low half of the W3C trace id; names the parent if no header does
    std::optional<core::Duration> timeout; ///< the caller's own, shortens the deadline
};

/// Send an attempt to an endpoint's node.
struct SendAttempt
{
    core::CallEnvelope envelope;
    core::NodeId node {};
    std::string address;
    core::TimePoint deadline {};
};

/// Ask again after a wait.
struct WaitBeforeRetry
{
    core::Duration delay {};
};

/// Answer the caller: with the upstream's answer if `kind` is None, else with figpulley's own.
struct FinishCall
{
    core::CallOutcome outcome;
};

using CallStep = std::variant<SendAttempt, WaitBeforeRetry, FinishCall>;

/// How an attempt ended, as the transport saw it.
struct AttemptResult
{
    core::ErrorKind kind = core::ErrorKind::None; ///< a fault of the transport, or None if the node answered
    std::optional<core::CallOutcome> outcome; ///< what the node reported
    core::TimePoint now {};
};
} // namespace figpulley::decide
