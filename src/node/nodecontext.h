#pragma once

#include "board/blackboard.h"
#include "core/random.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "node/nodemetrics.h"
#include "node/nodesettings.h"

namespace figpulley::node
{
/// Objects that the proxies and the control server of one node share. They are used on one thread only.
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
