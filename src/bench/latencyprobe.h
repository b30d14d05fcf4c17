#pragma once

#include "net/address.h"

#include <string>
#include <vector>

namespace figpulley::bench
{
/// Latency of direct calls to an upstream, and what two nodes on the path add to it, in microseconds.
struct LatencyMeasurement
{
    double directP50Us = 0;
    double directP99Us = 0;
    double addedP50Us = 0; ///< median through the nodes minus the direct median
    double addedP99Us = 0; ///< 99th percentile through the nodes minus the direct one
};

/// Measures latency on an idle testbed with alternating direct calls and calls through the nodes, at most 400 pairs per second,
/// to an upstream route with a service time of zero.
[[nodiscard]] LatencyMeasurement probeLatency(const std::vector<net::Address> &entrances, const net::Address &upstream,
                                              const std::string &service);
} // namespace figpulley::bench
