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
    int slots = 0; ///< of one endpoint
    int connections = 0; ///< of one endpoint
    std::vector<standin::UpstreamRoute> routes;
};

/// One kind of call that clients make.
struct DemandModel
{
    std::string route; ///< name in the priorities file
    std::string service;
    std::string method;
    std::string path;
    std::string priority;
    bool isIdempotent = true;
    double callsPerSecond = 0; ///< in the steady state
    std::size_t answerBytes = 0;
    bool isSurging = false; ///< multiplied during a surge
};

/// One of the users' businesses, as their brief gives it.
struct Deployment
{
    std::string name;
    std::string region;
    std::vector<std::string> zones;
    std::vector<ServiceModel> services;
    std::vector<DemandModel> demand;
    std::string deepService; ///< the one that slows
    double scale = 1; ///< share of the brief's slots and connections

    /// Calls per second that the deep service can take.
    [[nodiscard]] double deepCapacity() const;
};

/// Finds a deployment.
/// @param name "caltagirone" or "kovacic"
/// @returns nullptr if it is unknown
[[nodiscard]] const Deployment *findDeployment(std::string_view name);
} // namespace figpulley::bench
