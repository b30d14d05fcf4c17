#pragma once

#include "board/section.h"
#include "core/time.h"
#include "discovery/directory.h"
#include "discovery/localendpoint.h"
#include "gate/statedlimit.h"
#include "mesh/fwd.h"
#include "routing/routetable.h"

#include <string>

namespace figpulley::mesh
{
/// The active configuration.
struct ActiveConfig
{
    routing::RouteTablePtr table; ///< null until a configuration is known
    std::string source; ///< text that the table was read from, passed on to peers
    core::TimePoint activatedAt {};
};

/// State of a planned stop.
struct Lifecycle
{
    bool isStopping = false;
    core::TimePoint stopRequestedAt {};
    core::TimePoint responsesDueAt {}; ///< time by which requests have to end, so that their responses are sent before the process exits
};

/// What the endpoint on this VM states about itself in its responses.
struct LocalCondition
{
    std::string endpointId; ///< endpoint that the limit belongs to
    std::int64_t incarnation = 0;
    gate::StatedLimit limit;
};

/// Shared state of one node, in typed sections with one writer class each.
struct MeshBoard
{
    board::Section<ActiveConfig, ConfigUpdater> config;
    board::Section<discovery::Directory, DirectoryUpdater> directory;
    board::Section<discovery::LocalEndpoint, LocalRegistrar> local;
    board::Section<LocalCondition, ConditionUpdater> condition;
    board::Section<Lifecycle, MeshNode> lifecycle;
};
} // namespace figpulley::mesh
