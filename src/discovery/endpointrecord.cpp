#include "discovery/endpointrecord.h"

#include "core/json.h"
#include "core/nametable.h"
#include "net/address.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace figpulley::discovery
{
namespace
{
// An incarnation passes from a state of a lower number to one of a higher number, and never back.
constexpr int finality(EndpointState state) noexcept
{
    if (state == EndpointState::Gone) {
        return 2;
    }
    return state == EndpointState::Draining ? 1 : 0;
}

constexpr std::array<std::string_view, 4> stateNames {"ready", "draining", "gone", "silent"};
static_assert(stateNames.size() == static_cast<std::size_t>(EndpointState::Silent) + 1, "every state has a name");

std::optional<std::string> findString(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<std::int64_t> findInteger(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found == object.end() ? std::nullopt : core::wholeNumber(*found);
}
bool isBetween(std::int64_t number, std::int64_t lowest, std::int64_t highest) noexcept
{
    return number >= lowest && number <= highest;
}

// Returns the list of departures, which may be missing; nothing if it is malformed.
std::optional<DepartureList> findDepartures(const nlohmann::json &object)
{
    DepartureList departures;
    const auto found = object.find("departed");
    if (found == object.end()) {
        return departures;
    }
    if (!found->is_array() || found->size() > DepartureList::capacity) {
        return std::nullopt;
    }
    for (const auto &entry : *found) {
        if (!entry.is_object()) {
            return std::nullopt;
        }
        auto id = findString(entry, "id").value_or(std::string());
        const auto startedMs = findInteger(entry, "started_ms").value_or(-1);
        const auto includesEarlier = entry.find("includes_earlier");
        const bool isFlag = includesEarlier != entry.end() && includesEarlier->is_boolean();
        if (id.empty() || !isFlag || !isBetween(startedMs, 0, maxIncarnation)) {
            return std::nullopt;
        }
        departures.add({std::move(id), startedMs, includesEarlier->get<bool>()});
    }
    return departures;
}
} // namespace

std::string_view name(EndpointState state) noexcept
{
    return stateNames[static_cast<std::size_t>(state)];
}

std::optional<EndpointState> endpointStateFromName(std::string_view name) noexcept
{
    return core::enumFromName<EndpointState>(stateNames, name);
}

bool precedes(const EndpointRecord &earlier, const EndpointRecord &later) noexcept
{
    if (earlier.incarnation != later.incarnation) {
        return earlier.incarnation < later.incarnation;
    }
    return earlier.id == later.id && finality(earlier.state) < finality(later.state);
}

bool statesSame(const EndpointRecord &left, const EndpointRecord &right) noexcept
{
    return left.id == right.id && left.incarnation == right.incarnation && left.state == right.state && left.slots == right.slots
        && left.version == right.version && left.service == right.service && left.departed == right.departed;
}

std::string encode(const EndpointRecord &record)
{
    nlohmann::json object {
        {"node", record.node},         {"id", record.id},          {"service", record.service},      {"zone", record.zone},
        {"version", record.version},   {"slots", record.slots},    {"state", name(record.state)},    {"incarnation", record.incarnation},
        {"sequence", record.sequence}, {"cold_ms", record.coldMs}, {"started_ms", record.startedMs},
    };
    for (const auto &departure : record.departed.departures()) {
        object["departed"].push_back(
            {{"id", departure.id}, {"started_ms", departure.startedMs}, {"includes_earlier", departure.includesEarlier}});
    }
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<EndpointRecord> decodeEndpointRecord(std::string_view text)
{
    if (text.size() > maxRecordBytes) {
        return std::nullopt;
    }
    const auto object = core::parseJson(text);
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto node = findString(object, "node");
    const auto id = findString(object, "id");
    const auto service = findString(object, "service");
    const auto zone = findString(object, "zone");
    const auto version = findString(object, "version");
    const auto stateName = findString(object, "state");
    const auto slots = findInteger(object, "slots");
    const auto incarnation = findInteger(object, "incarnation");
    const auto sequence = findInteger(object, "sequence");
    const auto coldMs = findInteger(object, "cold_ms");
    // Nodes of versions without this field state the start time as the incarnation.
    const auto startedMs = object.contains("started_ms") ? findInteger(object, "started_ms") : incarnation;
    const auto departed = findDepartures(object);
    const bool isComplete =
        departed && node && id && service && zone && version && stateName && slots && incarnation && sequence && coldMs && startedMs;
    if (!isComplete || id->empty() || service->empty()) {
        return std::nullopt;
    }
    const auto address = net::parseAddress(*node);
    if (!address || address->port == 0) {
        return std::nullopt;
    }
    const auto state = endpointStateFromName(*stateName);
    const bool isInRange = isBetween(*slots, 0, maxSlots) && isBetween(*incarnation, 0, maxIncarnation) && isBetween(*coldMs, 0, maxColdMs)
        && isBetween(*startedMs, 0, maxIncarnation);
    if (!state || !isInRange) {
        return std::nullopt;
    }
    return EndpointRecord {*node,  *id,          *service,   *zone,     *version, static_cast<int>(*slots),
                           *state, *incarnation, *startedMs, *sequence, *coldMs,  *departed};
}
} // namespace figpulley::discovery
