#include "bench/benchfiles.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace figpulley::bench
{
namespace
{
using nlohmann::json;

// Concurrency limit that no endpoint reaches, so that the node never sheds.
constexpr int unlimitedConcurrency = 100000;

json makeServicePolicy(const ServiceModel &service, const ExperimentOptions &options)
{
    switch (options.control) {
    case ControlMode::Full:
        return {{"limit", std::string(config::name(options.limit))}};
    case ControlMode::StaticLimit:
        return {{"limit", "fixed"}, {"limit_initial", service.slots}, {"queue_length", 0}};
    case ControlMode::None:
    case ControlMode::PerHopRetries:
        return {{"limit", "fixed"}, {"limit_initial", unlimitedConcurrency}, {"limit_maximum", unlimitedConcurrency}, {"queue_length", 0}};
    }
    return {};
}

config::SourceFile makePolicyFile(const Deployment &deployment, const ExperimentOptions &options)
{
    const bool isFullControl = options.control == ControlMode::Full;
    auto services = json::object();
    for (const auto &service : deployment.services) {
        services[service.name] = makeServicePolicy(service, options);
    }
    const json document {{"kind", "overload-policy"},
                         {"name", deployment.name},
                         {"roots", {{"retry_budget", isFullControl ? 2 : 0}, {"deadline_ms", 2000}, {"early_shedding", isFullControl}}},
                         {"services", services}};
    return {"policy.json", document.dump(1)};
}

config::SourceFile makePrioritiesFile(const Deployment &deployment)
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

std::vector<config::SourceFile> makeBenchFiles(const Deployment &deployment, const ExperimentOptions &options)
{
    return {makePolicyFile(deployment, options), makePrioritiesFile(deployment)};
}
} // namespace figpulley::bench
