#include "platform/platformwire.h"

#include "platform/names.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::platform
{
namespace
{
using nlohmann::json;

core::Duration fromSeconds(double seconds)
{
    constexpr double longest = 1e6; // a week and a half; larger figures would not fit
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(std::clamp(seconds, 0.0, longest)));
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

// Reads a heartbeat; anybody may have written it, so every field is checked.
mesh::ControlCall readHeartbeat(std::string id, const json &body)
{
    if (!body.is_object()) {
        return mesh::MalformedCall {"the heartbeat is not an object"};
    }
    const auto isText = [&body](const char *key) { return body.contains(key) && body[key].is_string(); };
    const auto isNumber = [&body](const char *key) { return body.contains(key) && body[key].is_number(); };
    if (id.empty() || !isText(names::service) || !isText(names::address) || !isText(names::state)) {
        return mesh::MalformedCall {"a text of the heartbeat is missing or of another type"};
    }
    if (!isNumber(names::slots) || !isNumber(names::sequence)) {
        return mesh::MalformedCall {"a number of the heartbeat is missing or of another type"};
    }
    const auto state = body[names::state].get<std::string>();
    if (state != names::stateReady && state != names::stateDraining) {
        return mesh::MalformedCall {"unknown state " + state};
    }
    discovery::Announcement announcement;
    announcement.id = std::move(id);
    announcement.service = body[names::service].get<std::string>();
    announcement.address = body[names::address].get<std::string>();
    announcement.zone = body.value(names::zone, json("")).is_string() ? body.value(names::zone, std::string()) : std::string();
    announcement.version = isText(names::version) ? body[names::version].get<std::string>() : std::string();
    announcement.slots = static_cast<int>(std::clamp(body[names::slots].get<double>(), 0.0, 1e6));
    announcement.isDraining = state == names::stateDraining;
    announcement.sequence = body[names::sequence].get<std::int64_t>();
    if (isNumber(names::coldRemaining)) {
        announcement.coldFor = fromSeconds(body[names::coldRemaining].get<double>());
    }
    if (body.contains(names::incarnation)) {
        if (!body[names::incarnation].is_number_integer()) {
            return mesh::MalformedCall {"the incarnation is not a whole number"};
        }
        announcement.incarnation = body[names::incarnation].get<std::int64_t>();
    }
    return announcement;
}

mesh::ControlCall readDeparture(std::string id, const json &body)
{
    if (id.empty()) {
        return mesh::MalformedCall {"the departure names no endpoint"};
    }
    discovery::Departure departure {std::move(id), 0};
    if (body.is_object() && body.contains(names::incarnation) && body[names::incarnation].is_number_integer()) {
        departure.incarnation = body[names::incarnation].get<std::int64_t>();
    }
    return departure;
}

std::vector<routing::WeightedService> readParts(const json &path)
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

routing::Route readRoute(const std::string &host, const json &path)
{
    routing::Route route;
    route.name = path.at(names::name).get<std::string>();
    route.host = host;
    route.prefix = path.at(names::pathPrefix).get<std::string>();
    // A kind that is not known is held to the strictest rule: it runs once at most.
    route.kind = routing::requestKindFromName(path.at(names::kind).get<std::string>()).value_or(routing::RequestKind::Unsafe);
    route.timeout = fromSeconds(path.at(names::timeout).get<double>());
    route.objective = path.contains(names::objective) && path[names::objective].is_number()
        ? fromSeconds(path[names::objective].get<double>())
        : route.timeout;
    route.priority = path.value(names::priority, 0);
    route.maxAttempts = std::max(1, path.value(names::mostAttempts, 1));
    route.split = readParts(path);
    return route;
}

routing::ClientLimits readLimits(const json &body)
{
    routing::ClientLimits limits;
    limits.headerBytes = body.at(names::headerBytes).get<std::size_t>();
    limits.bodyBytes = body.at(names::bodyBytes).get<std::size_t>();
    limits.headerTimeout = fromSeconds(body.at(names::headerTimeout).get<double>());
    limits.idleTimeout = fromSeconds(body.at(names::idleTimeout).get<double>());
    return limits;
}
} // namespace

mesh::ClientHead PlatformWire::readClient(const net::Headers &headers) const
{
    mesh::ClientHead head;
    head.requestId = std::string(net::findHeader(headers, names::requestId));
    if (const auto milliseconds = parseNumber(net::findHeader(headers, names::deadline))) {
        head.patience = std::chrono::milliseconds(std::max<std::int64_t>(0, *milliseconds));
    }
    return head;
}

// The id of a call that an endpoint makes is seen to be the id of the request that it runs, a dot, and a part of its own. Nothing
// depends on it but the order in which requests are served: without it a call has the rank of its own route.
std::string_view PlatformWire::parentOf(std::string_view requestId) const
{
    const auto dot = requestId.rfind(names::callSeparator);
    return dot == std::string_view::npos ? std::string_view() : requestId.substr(0, dot);
}

bool PlatformWire::isOwnHeader(std::string_view name) const
{
    return net::isSameName(name, names::deadline) || net::isSameName(name, names::expectInstance) || net::isSameName(name, names::caller);
}

void PlatformWire::addUpstream(net::Headers &headers, const mesh::UpstreamHead &head) const
{
    headers.push_back({std::string(names::deadline), fmt::to_string(std::max<std::int64_t>(1, core::toMilliseconds(head.remaining)))});
    headers.push_back({std::string(names::expectInstance), head.endpointId});
    headers.push_back({std::string(names::caller), head.originService});
}

mesh::UpstreamReply PlatformWire::readReply(const net::ClientAnswerHead &head) const
{
    constexpr int misdirected = 421;
    mesh::UpstreamReply reply;
    reply.requestId = std::string(net::findHeader(head.headers, names::requestId));
    reply.isStamped = !net::findHeader(head.headers, names::stamp).empty();
    reply.isNotRun = !net::findHeader(head.headers, names::notRun).empty() || head.status == misdirected;
    reply.isEncoded = !net::findHeader(head.headers, "Content-Encoding").empty();
    return reply;
}

std::string_view PlatformWire::stampHeader() const
{
    return names::stamp;
}

mesh::ControlCall PlatformWire::readControl(const net::HttpRequest &request) const
{
    if (request.method == "GET" && request.path == names::readinessPath) {
        return mesh::ReadinessCall {};
    }
    const std::string_view path(request.path);
    if (request.method != "POST") {
        return mesh::MalformedCall {"no such call"};
    }
    const auto body = json::parse(request.body, nullptr, false);
    try {
        if (path.starts_with(names::heartbeatPath)) {
            return readHeartbeat(std::string(path.substr(names::heartbeatPath.size())), body);
        }
        if (path.starts_with(names::departurePath)) {
            return readDeparture(std::string(path.substr(names::departurePath.size())), body);
        }
    } catch (const json::exception &error) {
        return mesh::MalformedCall {error.what()};
    }
    return mesh::MalformedCall {"no such call"};
}

std::string PlatformWire::routesCollection() const
{
    return names::configKind;
}

std::string PlatformWire::routesName() const
{
    return names::configName;
}

std::optional<routing::RouteSet> PlatformWire::readRoutes(std::string_view text, std::string &reason) const
{
    try {
        const auto body = json::parse(text);
        routing::RouteSet set;
        set.version = body.at(names::version).get<std::uint64_t>();
        for (const auto &host : body.at(names::virtualHosts)) {
            const auto hostName = host.at(names::host).get<std::string>();
            for (const auto &path : host.at(names::paths)) {
                set.routes.push_back(readRoute(hostName, path));
            }
        }
        for (const auto &service : body.at(names::services)) {
            auto &entry = set.services[service.at(names::name).get<std::string>()];
            entry.healthPath = service.value(names::healthPath, std::string());
            entry.maxConnections = service.value(names::mostConnections, 0);
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
