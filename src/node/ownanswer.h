#pragma once

#include "core/envelope.h"
#include "net/httpserver.h"

namespace figpulley::node
{
/// Builds the answer that figpulley itself makes for an outcome: status, kind, whether the call ran, and a JSON body.
/// @param retryAfter when the caller may come back after a refusal
[[nodiscard]] net::HttpResponse ownAnswer(const core::CallOutcome &outcome, core::Duration retryAfter = std::chrono::seconds(1));

/// Whether a header of a request or an answer is passed on.
[[nodiscard]] bool isPassedOn(std::string_view name) noexcept;
} // namespace figpulley::node
