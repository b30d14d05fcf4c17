#pragma once

#include "net/address.h"

#include <string>
#include <vector>

namespace figpulley::bench
{
/// Latency of a call straight to an upstream and through two nodes, on an idle testbed.
struct LatencyProbe
{
    double directP50Us = 0;
    double directP99Us = 0;
    double addedP50Us = 0;
    double addedP99Us = 0;
};

/// Makes calls of both kinds in turn, 400 per second, at an upstream route that takes no time.
[[nodiscard]] LatencyProbe probeLatency(const std::vector<net::Address> &entrances, const net::Address &upstream,
                                        const std::string &service);
} // namespace figpulley::bench
