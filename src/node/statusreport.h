#pragma once

#include "board/blackboard.h"
#include "sync/manifest.h"

#include <string>

namespace figpulley::node
{
/// What a status report needs besides the blackboard.
struct StatusInputs
{
    const sync::Manifest *manifest = nullptr;
    std::string configProblem;
    bool isPlatformReachable = false;
    std::uint64_t olderRootRevision = 0; ///< 0 unless the platform holds an older revision than this node
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsSent = 0;
};

/// Zones not heard for this long are reported as unknown.
inline constexpr core::Duration zoneSilence = std::chrono::seconds(30);

/// Writes one node's status as JSON: configuration, zones, services as seen from here, and its own admission.
[[nodiscard]] std::string statusReport(const board::Blackboard &board, const StatusInputs &inputs, core::TimePoint now);
} // namespace figpulley::node
