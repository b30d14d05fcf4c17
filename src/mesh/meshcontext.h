#pragma once

#include "core/logsampler.h"
#include "core/random.h"
#include "mesh/fwd.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/httpsender.h"
#include "node/nodemetrics.h"
#include "store/collectionstore.h"

namespace figpulley::mesh
{
/// What the parts of one mesh node share; all outlive them.
struct MeshContext
{
    net::EventLoop &loop;
    net::HttpClient &client; ///< for snapshots of peers
    net::HttpSender &relay; ///< for requests that are passed on
    const MeshSettings &settings;
    const WireFormat &wire;
    store::CollectionStore &store;
    MeshBoard &board;
    core::Random &random;
    node::NodeMetrics &metrics;
    core::LogSampler &sampler; ///< of lines about idempotent requests; those about others are never left out
};
} // namespace figpulley::mesh
