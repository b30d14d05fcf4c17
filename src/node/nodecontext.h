#pragma once

#include "board/blackboard.h"
#include "core/random.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "node/nodemetrics.h"
#include "node/nodesettings.h"

namespace figpulley::node
{
/// What the faces of one node share. One thread uses it.
struct NodeContext
{
    net::EventLoop &loop;
    net::HttpClient &client;
    const NodeSettings &settings;
    board::Blackboard &board;
    core::Random &random;
    NodeMetrics &metrics;
};
} // namespace figpulley::node
