#include "bench/deployment.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace figpulley::bench
{
namespace
{
using namespace std::chrono_literals;
using standin::NestedCall;
using standin::UpstreamRoute;

// With a quarter of the slots and connections of the brief, one machine can generate ten times the demand. The service times
// give the deep service a capacity of a few hundred calls per second.
constexpr double resourceScale = 0.25;
constexpr std::size_t downloadBytes = 200UL * 1024UL;
constexpr std::size_t smallResponseBytes = 200;

int scaleCount(int count)
{
    return std::max(1, static_cast<int>(std::lround(count * resourceScale)));
}

UpstreamRoute makeRoute(core::Duration time, std::vector<NestedCall> nested, std::size_t bytes = smallResponseBytes)
{
    UpstreamRoute route;
    route.serviceTime = time;
    route.nested = std::move(nested);
    route.responseBytes = bytes;
    return route;
}

Deployment makeCaltagirone()
{
    Deployment deployment;
    deployment.name = "caltagirone";
    deployment.region = "sicilia-est";
    deployment.zones = {"caltagirone", "grammichele", "mineo", "vizzini"};
    deployment.scale = resourceScale;
    deployment.deepService = "bordure";
    const NestedCall patternCall {"bordure", "GET", "/patterns"};
    deployment.services = {
        {"motivi", 4, scaleCount(150), scaleCount(1000), {makeRoute(20ms, {patternCall})}},
        {"commesse", 4, scaleCount(150), scaleCount(1000), {makeRoute(20ms, {patternCall})}},
        {"archivio", 4, scaleCount(150), scaleCount(1000), {makeRoute(20ms, {}, downloadBytes)}},
        {"bordure", 4, scaleCount(30), scaleCount(250), {makeRoute(50ms, {})}},
    };
    deployment.demand = {
        {"motif-lookup", "motivi", "GET", "/motifs", "lookup", true, 380, smallResponseBytes, true},
        {"archive-pull", "archivio", "GET", "/archive", "download", true, 20, downloadBytes, false},
        {"commission", "commesse", "POST", "/commissions", "commission", false, 60, smallResponseBytes, false},
    };
    return deployment;
}

Deployment makeKovacic()
{
    Deployment deployment;
    deployment.name = "kovacic";
    deployment.region = "hr-central";
    deployment.zones = {"zagreb", "karlovac", "sisak"};
    deployment.scale = resourceScale;
    deployment.deepService = "ducani";
    const NestedCall stockCall {"ducani", "GET", "/stock"};
    deployment.services = {
        {"bicikli", 4, scaleCount(300), scaleCount(1800), {makeRoute(20ms, {stockCall})}},
        {"najam", 3, scaleCount(400), scaleCount(2400), {makeRoute(20ms, {stockCall})}},
        {"prirucnici", 3, scaleCount(400), scaleCount(2400), {makeRoute(20ms, {}, downloadBytes)}},
        {"ducani", 3, scaleCount(60), scaleCount(450), {makeRoute(80ms, {})}},
    };
    deployment.demand = {
        {"catalogue", "bicikli", "GET", "/catalogue", "browse", true, 250, smallResponseBytes, true},
        {"stock", "ducani", "GET", "/stock", "stock", true, 50, smallResponseBytes, true},
        {"guide", "prirucnici", "GET", "/guides", "download", true, 20, downloadBytes, false},
        {"booking", "najam", "POST", "/bookings", "booking", false, 80, smallResponseBytes, false},
    };
    return deployment;
}
} // namespace

double Deployment::deepCapacity() const
{
    const auto found = std::find_if(this->services.begin(), this->services.end(),
                                    [this](const ServiceModel &service) { return service.name == this->deepService; });
    return found->endpoints * found->slots / core::toSeconds(found->routes.front().serviceTime);
}

const Deployment *findDeployment(std::string_view name)
{
    static const Deployment caltagirone = makeCaltagirone();
    static const Deployment kovacic = makeKovacic();
    if (name == caltagirone.name) {
        return &caltagirone;
    }
    if (name == kovacic.name) {
        return &kovacic;
    }
    return nullptr;
}
} // namespace figpulley::bench
