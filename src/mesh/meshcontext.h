#pragma once

#include "core/logsampler.h"
#include "core/random.h"
#include "mesh/fwd.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/httpsender.h"
#include "node/nodemetrics.h"
#include "store/collectionstore.h"
#include "store/eratracker.h"

namespace figpulley::mesh
{
/// References that the components of one mesh node share. The referenced objects outlive the components.
struct MeshContext
{
    net::EventLoop &loop;
    net::HttpClient &client; ///< client for snapshots and changes of peers
    net::HttpSender &relay; ///< sender for proxied requests
    const MeshSettings &settings;
    const WireFormat &wire;
    store::CollectionStore &store;
    store::EraTracker &storeEra; ///< latest era of the store that this node knows of
    MeshBoard &board;
    core::Random &random;
    node::NodeMetrics &metrics;
    AnswerPool &answers; ///< texts of responses to other nodes
    core::LogSampler &sampler; ///< limits log lines about idempotent requests; lines about other requests are always written
};
} // namespace figpulley::mesh
