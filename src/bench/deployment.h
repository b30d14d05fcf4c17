#pragma once

#include "core/time.h"
#include "standin/upstreamserver.h"

#include <string>
#include <string_view>
#include <vector>

namespace figpulley::bench
{
/// One service of a deployment.
struct ServiceModel
{
    std::string name;
    int endpoints = 0;
    int slots = 0; ///< requests that one endpoint works on at once
    int connections = 0; ///< requests that one endpoint holds, running or queued
    std::vector<standin::UpstreamRoute> routes;
};

/// One kind of root call and the rate at which clients make it.
struct DemandModel
{
    std::string route; ///< name of the route in the priorities file
    std::string service;
    std::string method;
    std::string path;
    std::string priority;
    bool isIdempotent = true;
    double callsPerSecond = 0; ///< rate in the steady state
    std::size_t responseBytes = 0; ///< length of the expected response body
    bool isSurging = false; ///< whether a disturbance multiplies the rate
};

/// The services and the demand of one user of figpulley, taken from that user's brief.
struct Deployment
{
    std::string name;
    std::string region;
    std::vector<std::string> zones;
    std::vector<ServiceModel> services;
    std::vector<DemandModel> demand;
    std::string deepService; ///< service at the end of the chain, which the scenarios overload or slow down
    double scale = 1; ///< fraction of the slots and connections of the brief

    /// Returns the calls per second that the deep service can process at its normal service time.
    [[nodiscard]] double deepCapacity() const;
};

/// Finds a deployment by its name.
/// @param name "caltagirone" or "kovacic"
/// @returns nullptr for any other name
[[nodiscard]] const Deployment *findDeployment(std::string_view name);
} // namespace figpulley::bench
