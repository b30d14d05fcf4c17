#pragma once

#include <string_view>

namespace figpulley::node
{
inline constexpr std::string_view headerPrefix = "Figpulley-"; ///< prefix of the reserved headers, which are removed from clients' calls
inline constexpr std::string_view callHeader = "Figpulley-Call"; ///< envelope of an attempt; sent between nodes
inline constexpr std::string_view proofHeader = "Figpulley-Proof"; ///< signature of the envelope; sent between nodes
inline constexpr std::string_view outcomeHeader = "Figpulley-Outcome"; ///< report of an attempt; sent between nodes
inline constexpr std::string_view conditionHeader = "Figpulley-Condition"; ///< what an endpoint states about itself; sent between nodes
inline constexpr std::string_view parentHeader = "Figpulley-Parent"; ///< id of the parent call of a nested call
inline constexpr std::string_view deadlineHeader = "Figpulley-Deadline-Ms"; ///< time left until the deadline; sent to the upstream
inline constexpr std::string_view timeoutHeader = "Figpulley-Timeout-Ms"; ///< caller's timeout; can only shorten the deadline
inline constexpr std::string_view kindHeader = "Figpulley-Kind"; ///< error kind of a response that figpulley generates
inline constexpr std::string_view ranHeader = "Figpulley-Ran"; ///< whether the upstream ran the call: no, unknown or yes
inline constexpr std::string_view retriesHeader = "Figpulley-Retries"; ///< number of retries spent in the whole chain of a call
inline constexpr std::string_view traceHeader = "traceparent"; ///< W3C Trace Context
} // namespace figpulley::node
