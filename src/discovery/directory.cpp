#include "discovery/directory.h"

#include <algorithm>
#include <chrono>

namespace figpulley::discovery
{
bool Directory::put(const EndpointRecord &record, std::uint64_t revision, core::TimePoint now)
{
    const auto deleted = this->deletionRevisions.find(record.node);
    if (deleted != this->deletionRevisions.end()) {
        if (revision <= deleted->second) {
            return false;
        }
        this->deletionRevisions.erase(deleted);
    }
    auto &known = this->nodes[record.node];
    if (known.revision >= revision && known.revision != 0) {
        return false;
    }
    const bool isNew = known.record.id != record.id || known.record.incarnation != record.incarnation;
    const auto oldService = known.record.service;
    if (isNew) {
        known.knownSince = now;
        known.coldUntil = now + std::chrono::milliseconds(record.coldMs);
    }
    known.record = record;
    known.revision = revision;
    if (oldService != record.service) {
        this->rebuildReadyList(oldService);
    }
    this->rebuildReadyList(record.service);
    return true;
}

bool Directory::remove(const std::string &node, std::uint64_t revision)
{
    const auto found = this->nodes.find(node);
    if (found == this->nodes.end() || found->second.revision > revision) {
        return false;
    }
    const auto service = found->second.record.service;
    this->nodes.erase(found);
    this->deletionRevisions[node] = revision;
    this->rebuildReadyList(service);
    return true;
}

void Directory::retain(const std::unordered_set<std::string> &listed, std::uint64_t revision)
{
    std::vector<std::string> missing;
    for (const auto &[node, known] : this->nodes) {
        if (!listed.contains(node)) {
            missing.push_back(node);
        }
    }
    for (const auto &node : missing) {
        this->remove(node, revision);
    }
    this->deletionRevisions.clear();
}

void Directory::rebuildReadyList(const std::string &service)
{
    auto &list = this->readyByService[service];
    list.clear();
    for (const auto &[node, known] : this->nodes) {
        if (known.record.service == service && acceptsRequests(known.record.state)) {
            list.push_back(&known);
        }
    }
}

const std::vector<const KnownEndpoint *> &Directory::readyEndpoints(std::string_view service) const
{
    static const std::vector<const KnownEndpoint *> none;
    const auto found = this->readyByService.find(service);
    return found == this->readyByService.end() ? none : found->second;
}

const KnownEndpoint *Directory::find(std::string_view node) const
{
    const auto found = this->nodes.find(node);
    return found == this->nodes.end() ? nullptr : &found->second;
}

std::size_t Directory::size() const noexcept
{
    return this->nodes.size();
}

std::size_t Directory::countInZone(std::string_view zone) const
{
    return static_cast<std::size_t>(
        std::count_if(this->nodes.begin(), this->nodes.end(), [zone](const auto &entry) { return entry.second.record.zone == zone; }));
}

std::vector<const KnownEndpoint *> Directory::allEndpoints() const
{
    std::vector<const KnownEndpoint *> list;
    list.reserve(this->nodes.size());
    for (const auto &[node, known] : this->nodes) {
        list.push_back(&known);
    }
    return list;
}
} // namespace figpulley::discovery
