#include "mesh/updaters.h"

#include "core/log.h"

#include <algorithm>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
// Replaces the colon of ip:port, because object names are part of URL paths.
constexpr char portSeparator = '-';
} // namespace

std::string recordName(std::string_view node)
{
    std::string name(node);
    std::replace(name.begin(), name.end(), ':', portSeparator);
    return name;
}

std::string nodeOfRecord(std::string_view name)
{
    std::string node(name);
    std::replace(node.begin(), node.end(), portSeparator, ':');
    return node;
}

ConfigUpdater::ConfigUpdater(MeshBoard &board, const WireFormat &wire, std::function<void(const routing::RouteTable &)> onActivated)
    : board(board)
    , wire(wire)
    , onActivated(std::move(onActivated))
{
}

std::uint64_t ConfigUpdater::version() const noexcept
{
    const auto &table = this->board.config.read().table;
    return table ? table->version() : 0;
}

bool ConfigUpdater::activateIfNewer(std::string_view text, std::string_view origin, core::TimePoint now)
{
    std::string reason;
    auto routes = this->wire.readRoutes(text, reason);
    if (!routes) {
        core::log(core::LogLevel::Error, "config.refused", {{"origin", std::string(origin)}, {"reason", reason}});
        return false;
    }
    const auto activeVersion = this->version();
    if (routes->version < activeVersion) {
        core::log(
            core::LogLevel::Info, "config.older",
            {{"version", fmt::to_string(routes->version)}, {"active", fmt::to_string(activeVersion)}, {"origin", std::string(origin)}});
    }
    if (routes->version <= activeVersion) {
        return routes->version == activeVersion;
    }
    auto &config = this->board.config.write();
    config.table = std::make_shared<const routing::RouteTable>(std::move(*routes));
    config.source = std::string(text);
    config.activatedAt = now;
    core::log(core::LogLevel::Info, "config.in_force",
              {{"version", fmt::to_string(this->version())},
               {"earlier", fmt::to_string(activeVersion)},
               {"origin", std::string(origin)},
               {"routes", fmt::to_string(config.table->size())}});
    this->onActivated(*config.table);
    return true;
}

DirectoryUpdater::DirectoryUpdater(MeshBoard &board)
    : board(board)
{
}

void DirectoryUpdater::put(const std::string &name, std::string_view text, store::Position position, core::TimePoint now)
{
    const auto record = discovery::decodeEndpointRecord(text);
    if (!record || record->node != nodeOfRecord(name)) {
        core::log(core::LogLevel::Warning, "endpoint.unreadable",
                  {{"name", name}, {"revision", fmt::to_string(position.revision)}, {"era", fmt::to_string(position.era)}});
        this->remove(name, position);
        return;
    }
    if (this->board.directory.write().put(*record, position, now)) {
        core::log(core::LogLevel::Info, "endpoint.known",
                  {{"node", record->node},
                   {"endpoint", record->id},
                   {"service", record->service},
                   {"state", std::string(discovery::name(record->state))},
                   {"revision", fmt::to_string(position.revision)},
                   {"era", fmt::to_string(position.era)}});
        return;
    }
    const auto *known = this->board.directory.read().find(record->node);
    if (known != nullptr && known->record != *record) {
        core::log(core::LogLevel::Info, "endpoint.ignored",
                  {{"node", record->node},
                   {"endpoint", record->id},
                   {"state", std::string(discovery::name(record->state))},
                   {"revision", fmt::to_string(position.revision)},
                   {"era", fmt::to_string(position.era)},
                   {"known_endpoint", known->record.id},
                   {"known_state", std::string(discovery::name(known->record.state))},
                   {"known_revision", fmt::to_string(known->position.revision)},
                   {"known_era", fmt::to_string(known->position.era)}});
    }
}

bool DirectoryUpdater::applyTold(const discovery::EndpointRecord &record)
{
    const bool isKnown = this->board.directory.write().applyTold(record);
    core::log(core::LogLevel::Info, "endpoint.told",
              {{"node", record.node},
               {"endpoint", record.id},
               {"incarnation", fmt::to_string(record.incarnation)},
               {"state", std::string(discovery::name(record.state))},
               {"known", isKnown ? "true" : "false"}});
    return isKnown;
}

void DirectoryUpdater::remove(const std::string &name, store::Position position)
{
    const auto node = nodeOfRecord(name);
    if (this->board.directory.write().remove(node, position)) {
        core::log(core::LogLevel::Info, "endpoint.forgotten",
                  {{"node", node}, {"revision", fmt::to_string(position.revision)}, {"era", fmt::to_string(position.era)}});
    }
}

void DirectoryUpdater::retain(const std::unordered_set<std::string> &names, store::Position position)
{
    std::unordered_set<std::string> nodes;
    for (const auto &name : names) {
        nodes.insert(nodeOfRecord(name));
    }
    this->board.directory.write().retain(nodes, position);
}

void DirectoryUpdater::removeLost(std::uint64_t era, std::string_view own)
{
    for (const auto &node : this->board.directory.write().removeBefore(era, own)) {
        core::log(core::LogLevel::Info, "endpoint.forgotten",
                  {{"node", node}, {"era", fmt::to_string(era)}, {"cause", "lost in a restore"}});
    }
}
} // namespace figpulley::mesh
