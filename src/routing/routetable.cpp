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
    : set(std::move(routes))
{
    for (std::size_t at = 0; at < this->set.routes.size(); ++at) {
        this->byHost[normalizedHost(this->set.routes[at].host)].push_back(at);
    }
    for (auto &[host, positions] : this->byHost) {
        std::stable_sort(positions.begin(), positions.end(), [this](std::size_t left, std::size_t right) {
            return this->set.routes[left].prefix.size() > this->set.routes[right].prefix.size();
        });
    }
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto found = this->byHost.find(normalizedHost(host));
    if (found == this->byHost.end()) {
        return nullptr;
    }
    for (const auto at : found->second) {
        if (path.starts_with(this->set.routes[at].prefix)) {
            return &this->set.routes[at];
        }
    }
    return nullptr;
}

const RouteSet &RouteTable::routes() const noexcept
{
    return this->set;
}

std::uint64_t RouteTable::version() const noexcept
{
    return this->set.version;
}
} // namespace figpulley::routing
