#pragma once

#include <string_view>

namespace figpulley::node
{
inline constexpr std::string_view headerPrefix = "Figpulley-"; ///< all of these are removed from clients' calls
inline constexpr std::string_view callHeader = "Figpulley-Call"; ///< envelope of an attempt, between nodes
inline constexpr std::string_view proofHeader = "Figpulley-Proof"; ///< signature of the envelope, between nodes
inline constexpr std::string_view outcomeHeader = "Figpulley-Outcome"; ///< report of an attempt, between nodes
inline constexpr std::string_view parentHeader = "Figpulley-Parent"; ///< names the call that a nested call belongs to
inline constexpr std::string_view deadlineHeader = "Figpulley-Deadline-Ms"; ///< time left, towards the upstream
inline constexpr std::string_view timeoutHeader = "Figpulley-Timeout-Ms"; ///< a caller's own, shorter deadline
inline constexpr std::string_view kindHeader = "Figpulley-Kind"; ///< error kind of an answer made by figpulley
inline constexpr std::string_view ranHeader = "Figpulley-Ran"; ///< whether the call ran: no, unknown or yes
inline constexpr std::string_view retriesHeader = "Figpulley-Retries"; ///< retries spent over the whole chain of a call
inline constexpr std::string_view traceHeader = "traceparent"; ///< W3C trace context
} // namespace figpulley::node
