#pragma once

#include "board/section.h"
#include "core/time.h"
#include "discovery/directory.h"
#include "discovery/localendpoint.h"
#include "mesh/fwd.h"
#include "routing/routetable.h"

#include <string>

namespace figpulley::mesh
{
/// The routes in force.
struct ConfigInForce
{
    routing::RouteTablePtr table; ///< null until a configuration is known
    std::string source; ///< text that it was read from, for peers
    core::TimePoint since {};
};

/// Whether the node takes work.
struct Lifecycle
{
    bool isStopping = false;
    core::TimePoint stopRequestedAt {};
};

/// What one node knows: typed sections with one writer each.
struct MeshBoard
{
    board::Section<ConfigInForce, ConfigKeeper> config;
    board::Section<discovery::Directory, DirectoryKeeper> directory;
    board::Section<discovery::LocalEndpoint, LocalRecorder> local;
    board::Section<Lifecycle, MeshNode> lifecycle;
};
} // namespace figpulley::mesh
