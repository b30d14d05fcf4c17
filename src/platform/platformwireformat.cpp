#include "platform/platformwireformat.h"

#include "core/json.h"
#include "discovery/endpointrecord.h"
#include "platform/names.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <limits>
#include <stdexcept>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::platform
{
namespace
{
using nlohmann::json;

core::Duration fromSeconds(double seconds)
{
    constexpr double maxSeconds = 1e6; // about eleven days; much larger values would overflow the duration
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(std::clamp(seconds, 0.0, maxSeconds)));
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<double> parseRate(std::string_view text)
{
    double rate = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), rate);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    return isNumber && std::isfinite(rate) && rate >= 0 ? std::optional(rate) : std::nullopt;
}

constexpr std::array heartbeatTexts {names::service, names::address, names::zone, names::version, names::state};
constexpr double maxSlots = 1e6;
constexpr double maxColdSeconds = 24.0 * 3600;
static_assert(maxSlots <= discovery::maxSlots && maxColdSeconds * 1000 <= discovery::maxColdMs, "records of these heartbeats are valid");

// Reads the start time of an endpoint; nothing if it is missing.
// Throws if it is no whole number of the range that records allow.
std::optional<std::int64_t> readIncarnation(const json &body)
{
    const auto found = body.find(names::incarnation);
    if (found == body.end()) {
        return std::nullopt;
    }
    const auto incarnation = core::countOf(*found);
    if (incarnation > static_cast<std::uint64_t>(discovery::maxIncarnation)) {
        throw std::out_of_range("the start time is out of range");
    }
    return static_cast<std::int64_t>(incarnation);
}

// Reads a heartbeat. It may come from another writer, so it counts only as a whole: an incomplete one must not replace an endpoint.
mesh::ControlCall readHeartbeat(std::string id, const json &body)
{
    if (!body.is_object()) {
        return mesh::MalformedCall {"the heartbeat is not a JSON object"};
    }
    const auto isText = [&body](const char *key) {
        return body.contains(key) && body[key].is_string() && body[key].get_ref<const std::string &>().size() <= discovery::maxTextBytes;
    };
    const auto isNumber = [&body](const char *key) { return body.contains(key) && body[key].is_number(); };
    const auto isInRange = [&](const char *key, double highest) {
        return isNumber(key) && body[key].get<double>() >= 0 && body[key].get<double>() <= highest;
    };
    const bool hasTexts = std::ranges::all_of(heartbeatTexts, isText);
    if (id.empty() || id.size() > discovery::maxTextBytes || !hasTexts) {
        return mesh::MalformedCall {
            "the heartbeat needs an id in its path and the strings Service, Address, Zone, Version and State, of at most 1,024 bytes each"};
    }
    const std::int64_t sequence = body.contains(names::sequence) ? core::wholeNumber(body[names::sequence]).value_or(-1) : -1;
    if (!isInRange(names::slots, maxSlots) || !isInRange(names::coldRemaining, maxColdSeconds) || sequence < 0) {
        return mesh::MalformedCall {"the heartbeat needs the numbers Slots and ColdRemainingS and the integer Seq, in their range"};
    }
    const auto state = body[names::state].get<std::string>();
    if (state != names::stateReady && state != names::stateDraining) {
        return mesh::MalformedCall {"State of the heartbeat must be ready or draining, but is " + state};
    }
    discovery::Heartbeat heartbeat;
    heartbeat.id = std::move(id);
    heartbeat.service = body[names::service].get<std::string>();
    heartbeat.address = body[names::address].get<std::string>();
    heartbeat.zone = body[names::zone].get<std::string>();
    heartbeat.version = body[names::version].get<std::string>();
    heartbeat.slots = static_cast<int>(body[names::slots].get<double>());
    heartbeat.isDraining = state == names::stateDraining;
    heartbeat.sequence = sequence;
    heartbeat.coldRemaining = fromSeconds(body[names::coldRemaining].get<double>());
    heartbeat.incarnation = readIncarnation(body).value_or(0);
    return heartbeat;
}

// Reads a deregistration. Its body is optional; one that cannot be read may have named another incarnation.
mesh::ControlCall readDeregistration(std::string id, std::string_view text, const json &body)
{
    if (id.empty() || id.size() > discovery::maxTextBytes || (!text.empty() && !body.is_object())) {
        return mesh::MalformedCall {
            "the deregistration needs an id of at most 1,024 bytes in its path, and a JSON object as its body if it has one"};
    }
    return discovery::Deregistration {std::move(id), text.empty() ? 0 : readIncarnation(body).value_or(0)};
}

std::vector<routing::WeightedService> readSplit(const json &path)
{
    if (!path.contains(names::split) || path[names::split].is_null()) {
        return {{path.at(names::service).get<std::string>(), 1}};
    }
    std::vector<routing::WeightedService> parts;
    for (const auto &part : path[names::split]) {
        parts.push_back({part.at(names::service).get<std::string>(), part.at(names::weight).get<double>()});
    }
    return parts;
}

// Returns a whole number that fits into an int, or a default if the field is missing.
int readSmallNumber(const json &object, const char *key, int fallback)
{
    const auto found = object.find(key);
    constexpr std::uint64_t highest = std::numeric_limits<int>::max();
    return found == object.end() ? fallback : static_cast<int>(std::min(core::countOf(*found), highest));
}

routing::Route readRoute(const std::string &host, const json &path)
{
    routing::Route route;
    route.name = path.at(names::name).get<std::string>();
    route.host = host;
    route.prefix = path.at(names::pathPrefix).get<std::string>();
    // An unknown kind is treated as the strictest one, whose requests run at most once.
    route.kind = routing::requestKindFromName(path.at(names::kind).get<std::string>()).value_or(routing::RequestKind::Unsafe);
    route.timeout = fromSeconds(path.at(names::timeout).get<double>());
    route.objective = path.contains(names::targetLatency) && path[names::targetLatency].is_number()
        ? fromSeconds(path[names::targetLatency].get<double>())
        : route.timeout;
    route.priority = readSmallNumber(path, names::priority, 0);
    route.maxAttempts = std::max(1, readSmallNumber(path, names::maxAttempts, 1));
    route.split = readSplit(path);
    return route;
}

routing::ClientLimits readLimits(const json &body)
{
    routing::ClientLimits limits;
    limits.headerBytes = core::countOf(body.at(names::headerBytes));
    limits.bodyBytes = core::countOf(body.at(names::bodyBytes));
    limits.headerTimeout = fromSeconds(body.at(names::headerTimeout).get<double>());
    limits.idleTimeout = fromSeconds(body.at(names::idleTimeout).get<double>());
    return limits;
}
} // namespace

mesh::ClientHead PlatformWireFormat::readClientHead(const net::Headers &headers) const
{
    mesh::ClientHead head;
    head.requestId = std::string(net::findHeader(headers, names::requestId));
    if (const auto milliseconds = parseNumber(net::findHeader(headers, names::deadline))) {
        head.clientTimeout = std::chrono::milliseconds(std::max<std::int64_t>(0, *milliseconds));
    }
    return head;
}

// An endpoint's nested call is observed to have the id of the request that the endpoint runs, a dot and a suffix of its own. Only the
// order in which requests are served depends on this: a call without a parent gets the rank of its own route.
std::string_view PlatformWireFormat::parentRequestId(std::string_view requestId) const
{
    const auto dot = requestId.rfind(names::callSeparator);
    return dot == std::string_view::npos ? std::string_view() : requestId.substr(0, dot);
}

bool PlatformWireFormat::isReservedHeader(std::string_view name) const
{
    return net::equalsIgnoreCase(name, names::deadline) || net::equalsIgnoreCase(name, names::expectInstance)
        || net::equalsIgnoreCase(name, names::caller);
}

void PlatformWireFormat::addUpstreamHeaders(net::Headers &headers, const mesh::UpstreamHead &head) const
{
    headers.push_back({std::string(names::deadline), fmt::to_string(std::max<std::int64_t>(1, core::toMilliseconds(head.remaining)))});
    headers.push_back({std::string(names::expectInstance), head.endpointId});
    headers.push_back({std::string(names::caller), head.originService});
}

mesh::UpstreamReply PlatformWireFormat::readUpstreamReply(const net::ClientResponseHead &head) const
{
    constexpr int misdirected = 421;
    mesh::UpstreamReply reply;
    reply.requestId = std::string(net::findHeader(head.headers, names::requestId));
    reply.isStamped = !net::findHeader(head.headers, names::stamp).empty();
    reply.isNotRun = !net::findHeader(head.headers, names::notRun).empty() || head.status == misdirected;
    reply.isEncoded = !net::findHeader(head.headers, "Content-Encoding").empty();
    if (const auto rateLimit = net::findHeader(head.headers, names::rateLimit); !rateLimit.empty()) {
        reply.rateLimit = parseRate(rateLimit);
        reply.isRateLimitInvalid = !reply.rateLimit;
    }
    reply.isLeaving = net::findHeader(head.headers, names::leaving) == names::leavingValue;
    return reply;
}

std::string PlatformWireFormat::readHealthyEndpoint(const net::ClientResponseHead &head) const
{
    constexpr int healthy = 200;
    const bool isInService = head.status == healthy && net::findHeader(head.headers, names::leaving) != names::leavingValue;
    return isInService ? std::string(net::findHeader(head.headers, names::instanceId)) : std::string();
}

std::string_view PlatformWireFormat::stampHeader() const
{
    return names::stamp;
}

mesh::ControlCall PlatformWireFormat::readControlCall(const net::HttpRequest &request) const
{
    if (request.method == "GET" && request.path == names::readinessPath) {
        return mesh::ReadinessCall {};
    }
    const std::string_view path(request.path);
    if (request.method != "POST") {
        return mesh::MalformedCall {"unknown method or path of a control call"};
    }
    const auto body = core::parseJson(request.body);
    try {
        if (path.starts_with(names::heartbeatPath)) {
            return readHeartbeat(std::string(path.substr(names::heartbeatPath.size())), body);
        }
        if (path.starts_with(names::deregistrationPath)) {
            return readDeregistration(std::string(path.substr(names::deregistrationPath.size())), request.body, body);
        }
    } catch (const std::exception &error) {
        return mesh::MalformedCall {error.what()};
    }
    return mesh::MalformedCall {"unknown method or path of a control call"};
}

std::string PlatformWireFormat::routesCollection() const
{
    return names::configKind;
}

std::string PlatformWireFormat::routesName() const
{
    return names::configName;
}

std::optional<routing::RouteSet> PlatformWireFormat::readRoutes(std::string_view text, std::string &reason) const
{
    try {
        const auto body = core::parseJson(text);
        if (body.is_discarded()) {
            reason = "the text is not valid JSON, has a number out of range or is nested too deeply";
            return std::nullopt;
        }
        routing::RouteSet set;
        set.version = core::countOf(body.at(names::version));
        for (const auto &host : body.at(names::virtualHosts)) {
            const auto hostName = host.at(names::host).get<std::string>();
            for (const auto &path : host.at(names::paths)) {
                set.routes.push_back(readRoute(hostName, path));
            }
        }
        for (const auto &service : body.at(names::services)) {
            auto &entry = set.services[service.at(names::name).get<std::string>()];
            entry.healthPath = service.value(names::healthPath, std::string());
            entry.maxConnections = readSmallNumber(service, names::maxConnections, 0);
        }
        if (body.contains(names::limits) && body[names::limits].is_object()) {
            set.limits = readLimits(body[names::limits]);
        }
        return set;
    } catch (const json::exception &error) {
        reason = error.what();
        return std::nullopt;
    }
}
} // namespace figpulley::platform
