#pragma once

#include "board/blackboard.h"
#include "sync/manifest.h"

#include <string>

namespace figpulley::node
{
/// Inputs of a status report that the blackboard does not hold.
struct StatusInputs
{
    const sync::Manifest *manifest = nullptr;
    std::string configProblem;
    bool isPlatformReachable = false;
    std::uint64_t olderRootRevision = 0; ///< revision of the platform's root if it is older than the one in force at this node, 0 otherwise
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsSent = 0;
};

/// Time without a message from a zone after which it is reported as unknown.
inline constexpr core::Duration zoneUnknownAfter = std::chrono::seconds(30);

/// Builds the status of a node as JSON: configuration, zones and services as this node knows them, and its admission state.
[[nodiscard]] std::string statusReport(const board::Blackboard &board, const StatusInputs &inputs, core::TimePoint now);
} // namespace figpulley::node
