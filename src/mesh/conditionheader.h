#pragma once

#include "routing/endpointcondition.h"

#include <optional>
#include <string>
#include <string_view>

namespace figpulley::mesh
{
/// Encodes the value of node::conditionHeader. It is a header of its own, so that nodes of versions without it ignore it.
[[nodiscard]] std::string encode(const routing::EndpointCondition &condition);

/// Decodes a header of an untrusted peer. Returns nothing unless all fields are present and in range.
[[nodiscard]] std::optional<routing::EndpointCondition> decodeEndpointCondition(std::string_view text);

/// Formats a rate limit for logs: requests per second, or "none".
[[nodiscard]] std::string formatRate(const std::optional<double> &perSecond);
} // namespace figpulley::mesh
