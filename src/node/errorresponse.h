#pragma once

#include "core/envelope.h"
#include "net/httpserver.h"

namespace figpulley::node
{
/// Builds the response that figpulley generates for the outcome of a call: status, error kind, whether the call ran, and a JSON body.
/// @param retryAfter time after which the caller may retry; sent with status 503 only
[[nodiscard]] net::HttpResponse makeErrorResponse(const core::CallOutcome &outcome, core::Duration retryAfter = std::chrono::seconds(1));

/// Returns whether a header of a request or a response is forwarded.
[[nodiscard]] bool isForwardedHeader(std::string_view name) noexcept;
} // namespace figpulley::node
