#include "discovery/directory.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace figpulley::discovery
{
namespace
{
// Records of endpoints that have left for good need no confirmation: nothing is sent to these endpoints, and their nodes may need the
// records after a restart.
bool isUnconfirmed(const KnownEndpoint &known, std::uint64_t era)
{
    return known.position.era < era && !isFinal(known.record.state);
}
} // namespace

// A VM that now belongs to another service counts its incarnations anew.
bool Directory::isNewer(const EndpointRecord &record, store::Position position, const KnownEndpoint &known)
{
    const bool isNewerByCount = precedes(known.record, record);
    if (position.era < known.position.era) {
        return isNewerByCount;
    }
    const bool isOfSameService = record.service == known.record.service;
    const bool isOlderByCount = isOfSameService && precedes(record, known.record);
    return (isOfSameService && isNewerByCount) || (position > known.position && !isOlderByCount);
}

bool Directory::put(const EndpointRecord &record, store::Position position, core::TimePoint now)
{
    const auto deleted = this->deletions.find(record.node);
    if (deleted != this->deletions.end()) {
        if (position <= deleted->second) {
            return false;
        }
        this->deletions.erase(deleted);
    }
    const auto found = this->nodes.find(record.node);
    if (found == this->nodes.end()) {
        // A peer that has not listed the current era yet may know nodes that the restored store has lost.
        const auto lost = this->lostRecords.find(record.node);
        const bool isOlderThanLost = lost != this->lostRecords.end() && precedes(record, lost->second);
        if (position.era < this->listedEra || isOlderThanLost) {
            return false;
        }
        this->lostRecords.erase(record.node);
        this->nodes[record.node] = {record, position, now, now + std::chrono::milliseconds(record.coldMs)};
        this->rebuildReadyList(record.service);
        return true;
    }
    auto &known = found->second;
    if (!isNewer(record, position, known)) {
        return false;
    }
    known.position = std::max(known.position, position);
    if (known.record == record) {
        return false;
    }
    const auto oldService = known.record.service;
    if (known.record.id != record.id || known.record.incarnation != record.incarnation) {
        known.knownSince = now;
        known.coldUntil = now + std::chrono::milliseconds(record.coldMs);
    }
    known.record = record;
    if (oldService != record.service) {
        this->rebuildReadyList(oldService);
    }
    this->rebuildReadyList(record.service);
    return true;
}

bool Directory::applyTold(const EndpointRecord &record)
{
    const auto found = this->nodes.find(record.node);
    if (found == this->nodes.end()) {
        return false;
    }
    auto &known = found->second.record;
    auto next = record.service == known.service && precedes(record, known) ? known : record;
    for (const auto &departure : record.departed.departures()) {
        next.departed.add(departure);
    }
    next.departed.merge(known.departed);
    const auto earlierService = std::exchange(known, std::move(next)).service;
    this->rebuildReadyList(earlierService);
    this->rebuildReadyList(known.service);
    return true;
}

bool Directory::remove(const std::string &node, store::Position position)
{
    const auto found = this->nodes.find(node);
    if (found == this->nodes.end() || found->second.position > position) {
        return false;
    }
    const auto service = found->second.record.service;
    this->nodes.erase(found);
    this->deletions[node] = position;
    this->rebuildReadyList(service);
    return true;
}

void Directory::retain(const std::unordered_set<std::string> &listed, store::Position position)
{
    std::vector<std::string> missing;
    for (const auto &[node, known] : this->nodes) {
        if (!listed.contains(node) && known.position.era == position.era) {
            missing.push_back(node);
        }
    }
    for (const auto &node : missing) {
        this->remove(node, position);
    }
    this->deletions.clear();
    this->listedEra = position.era;
}

std::size_t Directory::countBefore(std::uint64_t era) const
{
    return static_cast<std::size_t>(
        std::count_if(this->nodes.begin(), this->nodes.end(), [era](const auto &entry) { return isUnconfirmed(entry.second, era); }));
}

std::vector<std::string> Directory::removeBefore(std::uint64_t era, std::string_view kept)
{
    std::vector<std::string> removed;
    for (const auto &[node, known] : this->nodes) {
        if (node != kept && isUnconfirmed(known, era)) {
            removed.push_back(node);
        }
    }
    for (const auto &node : removed) {
        const auto record = this->nodes.at(node).record;
        this->nodes.erase(node);
        this->rebuildReadyList(record.service);
        this->lostRecords[node] = record;
    }
    return removed;
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
