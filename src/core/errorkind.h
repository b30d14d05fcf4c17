#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace figpulley::core
{
/// Whether the upstream ran a call.
enum class Ran : std::uint8_t {
    No, ///< no byte of the call was handed to the upstream
    Unknown, ///< the upstream may have run it
    Yes, ///< the upstream answered
};

/// Name of a Ran value as it stands in the `Figpulley-Ran` header.
[[nodiscard]] std::string_view name(Ran ran) noexcept;

/// Every way in which figpulley itself answers, plus `None` for an answer of the upstream.
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
};

/// What figpulley answers for one error kind.
struct ErrorAnswer
{
    ErrorKind kind;
    std::string_view name; ///< value of the `Figpulley-Kind` header
    int httpStatus;
    Ran ran;
    bool retryable; ///< another endpoint may be tried for an idempotent call, or for any call if `ran` is No
    std::string_view wording;
};

/// The closed table from kind to answer, in the order of the enumeration.
[[nodiscard]] const std::array<ErrorAnswer, 30> &errorTable() noexcept;

/// Looks up the answer for a kind.
/// @param kind any kind
/// @returns its row of the table
///
/// Example: `answerFor(ErrorKind::Overloaded).httpStatus == 503`
[[nodiscard]] const ErrorAnswer &answerFor(ErrorKind kind) noexcept;

/// Finds a kind by the name in the `Figpulley-Kind` header.
[[nodiscard]] std::optional<ErrorKind> errorKindFromName(std::string_view name) noexcept;
} // namespace figpulley::core
