#include "core/errorkind.h"

#include <algorithm>

namespace figpulley::core
{
namespace
{
constexpr std::array<std::string_view, 3> ranNames {"no", "unknown", "yes"};

constexpr std::array<ErrorProperties, 31> table {{
    {ErrorKind::None, "none", 200, Ran::Yes, false, "answer of the upstream"},
    {ErrorKind::Overloaded, "overloaded", 503, Ran::No, true, "the endpoint has no capacity for this priority"},
    {ErrorKind::ShedEarly, "shed-early", 503, Ran::No, false, "a service on the path has no capacity for this priority"},
    {ErrorKind::QueueTimeout, "queue-timeout", 503, Ran::No, false, "the call waited in the queue longer than allowed"},
    {ErrorKind::DeadlineExpired, "deadline-expired", 504, Ran::No, false, "the deadline passed before the call was run"},
    {ErrorKind::DeadlineUnknown, "deadline-unknown", 504, Ran::Unknown, false, "the deadline passed while the call was running"},
    {ErrorKind::Draining, "draining", 503, Ran::No, true, "the upstream is leaving and takes no new work"},
    {ErrorKind::NoRoute, "no-route", 404, Ran::No, false, "no route in the configuration matches this call"},
    {ErrorKind::NoEndpoint, "no-endpoint", 503, Ran::No, false, "no endpoint of the service is known"},
    {ErrorKind::ConnectFailed, "connect-failed", 503, Ran::No, true, "no connection to the endpoint could be opened"},
    {ErrorKind::AnswerLost, "answer-lost", 502, Ran::Unknown, true, "the connection ended before an answer arrived"},
    {ErrorKind::AnswerShort, "answer-short", 502, Ran::Unknown, true, "the answer ended before its announced length"},
    {ErrorKind::StaleIncarnation, "stale-incarnation", 503, Ran::Unknown, true, "the endpoint was replaced after the call was sent"},
    {ErrorKind::DuplicateAttempt, "duplicate-attempt", 409, Ran::Unknown, false, "this attempt has already arrived at the endpoint"},
    {ErrorKind::AttemptTableFull, "attempt-table-full", 503, Ran::No, true, "the endpoint cannot remember another attempt"},
    {ErrorKind::Cancelled, "cancelled", 499, Ran::No, false, "the caller went away"},
    {ErrorKind::BadRequest, "bad-request", 400, Ran::No, false, "the request is malformed"},
    {ErrorKind::BodyTooLarge, "body-too-large", 413, Ran::No, false, "the request body exceeds the limit"},
    {ErrorKind::NotTrusted, "not-trusted", 403, Ran::No, false, "the sender did not prove that it is a node"},
    {ErrorKind::InvalidFile, "invalid-file", 422, Ran::No, false, "the file is not valid"},
    {ErrorKind::Conflict, "conflict", 409, Ran::No, false, "the object was changed by somebody else"},
    {ErrorKind::PlatformUnavailable, "platform-unavailable", 503, Ran::No, true, "the platform's object API does not answer"},
    {ErrorKind::PlatformOutcomeUnknown, "platform-outcome-unknown", 504, Ran::Unknown, false, "the write may or may not have taken effect"},
    {ErrorKind::NotFound, "not-found", 404, Ran::No, false, "there is no such object"},
    {ErrorKind::Internal, "internal", 500, Ran::Unknown, false, "internal error"},
    {ErrorKind::NotServing, "not-serving", 503, Ran::No, true, "the endpoint has left, was replaced or is not running"},
    {ErrorKind::ConfigurationMissing, "configuration-missing", 503, Ran::No, false, "the node knows no configuration yet"},
    {ErrorKind::HistoryGone, "history-gone", 410, Ran::No, true, "the store has discarded the changes since that revision"},
    {ErrorKind::Stopping, "stopping", 503, Ran::No, true, "the node is stopping"},
    {ErrorKind::UpstreamRefused, "upstream-refused", 503, Ran::No, true, "the endpoint itself refused the call and did not run it"},
    {ErrorKind::RetryBudgetSpent, "retry-budget-spent", 503, Ran::No, true,
     "the call is part of a repeated one, and the retry budget of a service that it needs is spent"},
}};

constexpr bool isInOrder()
{
    for (std::size_t row = 0; row < table.size(); ++row) {
        if (static_cast<std::size_t>(table[row].kind) != row) {
            return false;
        }
    }
    return true;
}
static_assert(isInOrder(), "errorProperties() indexes the table by kind");
static_assert(table.size() == static_cast<std::size_t>(ErrorKind::RetryBudgetSpent) + 1, "every kind has a row");
} // namespace

std::string_view name(Ran ran) noexcept
{
    return ranNames[static_cast<std::size_t>(ran)];
}

const std::array<ErrorProperties, 31> &errorTable() noexcept
{
    return table;
}

const ErrorProperties &errorProperties(ErrorKind kind) noexcept
{
    return table[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> errorKindFromName(std::string_view name) noexcept
{
    const auto row =
        std::find_if(table.begin(), table.end(), [name](const ErrorProperties &properties) { return properties.name == name; });
    if (row == table.end()) {
        return std::nullopt;
    }
    return row->kind;
}
} // namespace figpulley::core
