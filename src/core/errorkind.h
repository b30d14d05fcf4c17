#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace figpulley::core
{
/// Whether the upstream ran a call.
enum class Ran : std::uint8_t {
    No, ///< no byte of the call was sent to the upstream
    Unknown, ///< the upstream may have run the call
    Yes, ///< the upstream responded
};

/// Name of a Ran value in the `Figpulley-Ran` header.
[[nodiscard]] std::string_view name(Ran ran) noexcept;

/// Reason for which figpulley itself responds to a call; `None` marks a response of the upstream.
enum class ErrorKind : std::uint8_t {
    None,
    Overloaded,
    ShedEarly,
    QueueTimeout,
    DeadlineExpired,
    DeadlineUnknown,
    Draining,
    NoRoute,
    NoEndpoint,
    ConnectFailed,
    AnswerLost,
    AnswerShort,
    StaleIncarnation,
    DuplicateAttempt,
    AttemptTableFull,
    Cancelled,
    BadRequest,
    BodyTooLarge,
    NotTrusted,
    InvalidFile,
    Conflict,
    PlatformUnavailable,
    PlatformOutcomeUnknown,
    NotFound,
    Internal,
    NotServing,
    ConfigurationMissing,
    HistoryGone,
    Stopping,
    UpstreamRefused,
    RetryBudgetSpent,
};

/// Properties of one error kind and of figpulley's response for it.
struct ErrorProperties
{
    ErrorKind kind;
    std::string_view name; ///< value of the `Figpulley-Kind` header
    int httpStatus;
    Ran ran;
    bool isRetryable; ///< whether an idempotent call, or any call if `ran` is No, may be retried at another endpoint
    std::string_view message; ///< message for clients and operators
};

/// Properties of all error kinds, in the order of the enumeration.
[[nodiscard]] const std::array<ErrorProperties, 31> &errorTable() noexcept;

/// Looks up the properties of an error kind.
///
/// Example: `errorProperties(ErrorKind::Overloaded).httpStatus == 503`
[[nodiscard]] const ErrorProperties &errorProperties(ErrorKind kind) noexcept;

/// Finds a kind by the name in the `Figpulley-Kind` header.
[[nodiscard]] std::optional<ErrorKind> errorKindFromName(std::string_view name) noexcept;
} // namespace figpulley::core
