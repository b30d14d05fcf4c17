#include "routing/routetable.h"

#include <algorithm>
#include <utility>

namespace figpulley::routing
{
namespace
{
std::string normalizedHost(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return key;
}
} // namespace

RouteTable::RouteTable(RouteSet routes)
    : setVersion(routes.version)
    , routeCount(routes.routes.size())
    , routedServices(std::move(routes.services))
    , clientLimits(routes.limits)
{
    for (auto &route : routes.routes) {
        auto &hostRoutes = this->byHost[normalizedHost(route.host)];
        hostRoutes.push_back(std::make_shared<const Route>(std::move(route)));
    }
    for (auto &[host, hostRoutes] : this->byHost) {
        std::stable_sort(hostRoutes.begin(), hostRoutes.end(),
                         [](const RoutePtr &left, const RoutePtr &right) { return left->prefix.size() > right->prefix.size(); });
    }
}

RoutePtr RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto found = this->byHost.find(normalizedHost(host));
    if (found == this->byHost.end()) {
        return nullptr;
    }
    const auto &hostRoutes = found->second;
    const auto match =
        std::find_if(hostRoutes.begin(), hostRoutes.end(), [path](const RoutePtr &route) { return path.starts_with(route->prefix); });
    return match == hostRoutes.end() ? nullptr : *match;
}

const std::map<std::string, RoutedService> &RouteTable::services() const noexcept
{
    return this->routedServices;
}

const ClientLimits &RouteTable::limits() const noexcept
{
    return this->clientLimits;
}

std::size_t RouteTable::size() const noexcept
{
    return this->routeCount;
}

std::unordered_set<std::string> RouteTable::names() const
{
    std::unordered_set<std::string> names;
    for (const auto &[host, hostRoutes] : this->byHost) {
        for (const auto &route : hostRoutes) {
            names.insert(route->name);
        }
    }
    return names;
}

std::uint64_t RouteTable::version() const noexcept
{
    return this->setVersion;
}
} // namespace figpulley::routing
