#pragma once

namespace figpulley::net
{
/// Whether a response with this status is followed by the final response to the same request. Not 101: no request asks for another
/// protocol, and what follows it would not be HTTP.
[[nodiscard]] constexpr bool isInterimStatus(int status) noexcept
{
    constexpr int switchingProtocols = 101;
    return status >= 100 && status < 200 && status != switchingProtocols;
}

/// Whether a response with this status ends its exchange. Statuses of 600 and above are in no class of HTTP, but are passed on as they
/// are: another one in their place would be no answer of the endpoint.
[[nodiscard]] constexpr bool isFinalStatus(int status) noexcept
{
    return status >= 200;
}

static_assert(!isFinalStatus(0) && !isInterimStatus(0) && !isInterimStatus(99), "a status below 100 is invalid");
static_assert(isInterimStatus(100) && isInterimStatus(103) && !isInterimStatus(101) && !isFinalStatus(101), "a 101 is invalid");
} // namespace figpulley::net
