#include "bench/benchfiles.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace figpulley::bench
{
namespace
{
using nlohmann::json;

constexpr int unlimited = 100000;

json servicePolicy(const ServiceModel &service, const ExperimentOptions &options)
{
    switch (options.control) {
    case ControlMode::Full:
        return {{"limit", std::string(config::name(options.limit))}};
    case ControlMode::StaticLimit:
        return {{"limit", "fixed"}, {"limit_initial", service.slots}, {"queue_length", 0}};
    case ControlMode::None:
    case ControlMode::PerHopRetries:
        return {{"limit", "fixed"}, {"limit_initial", unlimited}, {"limit_maximum", unlimited}, {"queue_length", 0}};
    }
    return {};
}

config::SourceFile policyFile(const Deployment &deployment, const ExperimentOptions &options)
{
    const bool isFull = options.control == ControlMode::Full;
    auto services = json::object();
    for (const auto &service : deployment.services) {
        services[service.name] = servicePolicy(service, options);
    }
    const json document {{"kind", "overload-policy"},
                         {"name", deployment.name},
                         {"roots", {{"retry_budget", isFull ? 2 : 0}, {"deadline_ms", 2000}, {"early_shedding", isFull}}},
                         {"services", services}};
    return {"policy.json", document.dump(1)};
}

config::SourceFile prioritiesFile(const Deployment &deployment)
{
    auto levels = json::array();
    auto routes = json::array();
    for (const auto &demand : deployment.demand) {
        if (std::find(levels.begin(), levels.end(), demand.priority) == levels.end()) {
            levels.push_back(demand.priority);
        }
        routes.push_back({{"name", demand.route},
                          {"service", demand.service},
                          {"method", demand.method},
                          {"path_prefix", demand.path},
                          {"level", demand.priority},
                          {"idempotent", demand.isIdempotent}});
    }
    levels.push_back("probe");
    routes.push_back({{"name", "probe"},
                      {"service", deployment.services.front().name},
                      {"path_prefix", "/probe"},
                      {"level", "probe"},
                      {"idempotent", true}});
    const json document {{"kind", "request-priorities"}, {"name", deployment.name}, {"levels", levels}, {"routes", routes}};
    return {"priorities.json", document.dump(1)};
}
} // namespace

std::vector<config::SourceFile> benchFiles(const Deployment &deployment, const ExperimentOptions &options)
{
    return {policyFile(deployment, options), prioritiesFile(deployment)};
}
} // namespace figpulley::bench
