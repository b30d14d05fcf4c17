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

// A quarter of the brief's slots lets one machine carry ten times the demand; service times are chosen for a few hundred
// calls per second at the deep service.
constexpr double benchScale = 0.25;
constexpr std::size_t downloadBytes = 200UL * 1024UL;
constexpr std::size_t smallAnswer = 200;

int scaled(int count)
{
    return std::max(1, static_cast<int>(std::lround(count * benchScale)));
}

UpstreamRoute work(core::Duration time, std::vector<NestedCall> nested, std::size_t bytes = smallAnswer)
{
    UpstreamRoute route;
    route.serviceTime = time;
    route.nested = std::move(nested);
    route.answerBytes = bytes;
    return route;
}

Deployment makeCaltagirone()
{
    Deployment deployment;
    deployment.name = "caltagirone";
    deployment.region = "sicilia-est";
    deployment.zones = {"caltagirone", "grammichele", "mineo", "vizzini"};
    deployment.scale = benchScale;
    deployment.deepService = "bordure";
    const NestedCall border {"bordure", "GET", "/patterns"};
    deployment.services = {
        {"motivi", 4, scaled(150), scaled(1000), {work(20ms, {border})}},
        {"commesse", 4, scaled(150), scaled(1000), {work(20ms, {border})}},
        {"archivio", 4, scaled(150), scaled(1000), {work(20ms, {}, downloadBytes)}},
        {"bordure", 4, scaled(30), scaled(250), {work(50ms, {})}},
    };
    deployment.demand = {
        {"motif-lookup", "motivi", "GET", "/motifs", "lookup", true, 380, smallAnswer, true},
        {"archive-pull", "archivio", "GET", "/archive", "download", true, 20, downloadBytes, false},
        {"commission", "commesse", "POST", "/commissions", "commission", false, 60, smallAnswer, false},
    };
    return deployment;
}

Deployment makeKovacic()
{
    Deployment deployment;
    deployment.name = "kovacic";
    deployment.region = "hr-central";
    deployment.zones = {"zagreb", "karlovac", "sisak"};
    deployment.scale = benchScale;
    deployment.deepService = "ducani";
    const NestedCall stock {"ducani", "GET", "/stock"};
    deployment.services = {
        {"bicikli", 4, scaled(300), scaled(1800), {work(20ms, {stock})}},
        {"najam", 3, scaled(400), scaled(2400), {work(20ms, {stock})}},
        {"prirucnici", 3, scaled(400), scaled(2400), {work(20ms, {}, downloadBytes)}},
        {"ducani", 3, scaled(60), scaled(450), {work(80ms, {})}},
    };
    deployment.demand = {
        {"catalogue", "bicikli", "GET", "/catalogue", "browse", true, 250, smallAnswer, true},
        {"stock", "ducani", "GET", "/stock", "stock", true, 50, smallAnswer, true},
        {"guide", "prirucnici", "GET", "/guides", "download", true, 20, downloadBytes, false},
        {"booking", "najam", "POST", "/bookings", "booking", false, 80, smallAnswer, false},
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
