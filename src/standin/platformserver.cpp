#include "standin/platformserver.h"

#include "net/query.h"

#include <charconv>
#include <chrono>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::standin
{
namespace
{
using core::ErrorKind;
using net::HttpResponse;

constexpr std::string_view objectPath = "/v1/objects/";
constexpr std::string_view watchPath = "/v1/watch/";
constexpr int httpNoContent = 204;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
constexpr int httpPreconditionFailed = 412;
constexpr int httpTooLarge = 413;
constexpr int httpUnavailable = 503;
constexpr std::uint64_t maxWatchMs = 60000;

net::Headers versionHeader(std::uint64_t version)
{
    return {{"ETag", fmt::format("\"{}\"", version)}};
}

HttpResponse toResponse(const store::StoreResult &result)
{
    switch (result.kind) {
    case ErrorKind::None:
        return {200, versionHeader(result.object.version), result.object.value};
    case ErrorKind::NotFound:
        return {httpNotFound, {}, "no such object\n"};
    case ErrorKind::Conflict:
        return {httpPreconditionFailed, versionHeader(result.object.version), "the version differs\n"};
    case ErrorKind::BodyTooLarge:
        return {httpTooLarge, {}, "the value is larger than a megabyte\n"};
    default:
        return {httpUnavailable, {}, "unavailable\n"};
    }
}

store::WriteCondition parseWriteCondition(const net::Headers &headers)
{
    store::WriteCondition condition;
    if (net::findHeader(headers, "If-None-Match") == "*") {
        condition.version = 0;
    }
    auto tag = net::findHeader(headers, "If-Match");
    if (tag.size() > 2) {
        tag = tag.substr(1, tag.size() - 2);
        std::uint64_t version = 0;
        std::from_chars(tag.data(), tag.data() + tag.size(), version);
        condition.version = version;
    }
    return condition;
}
} // namespace

PlatformServer::PlatformServer(net::EventLoop &loop, const net::Address &address)
    : loop(loop)
    , server(loop, address, [this](const std::shared_ptr<net::HttpExchange> &exchange) { this->handle(exchange); },
             {.bodyBytes = store::maxValueBytes + 1})
{
}

PlatformServer::~PlatformServer() = default;

net::Address PlatformServer::address() const
{
    return this->server.address();
}

const PlatformCounts &PlatformServer::counts() const noexcept
{
    return this->callCounts;
}

void PlatformServer::setFaults(const PlatformFaults &requested)
{
    this->faults = requested;
}

void PlatformServer::sendResponse(const std::shared_ptr<net::HttpExchange> &exchange, HttpResponse response)
{
    if (this->faults.delay.count() == 0) {
        exchange->respond(std::move(response));
        return;
    }
    this->loop.callAfter(this->faults.delay, [exchange, response = std::move(response)] { exchange->respond(response); });
}

void PlatformServer::handle(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const std::string_view path = exchange->request().path;
    if (path.starts_with("/admin/")) {
        this->handleAdmin(exchange);
        return;
    }
    if (this->faults.isDown) {
        this->sendResponse(exchange, {httpUnavailable, {}, "the platform is down\n"});
        return;
    }
    if (path.starts_with(objectPath)) {
        this->handleObject(exchange, std::string(path.substr(objectPath.size())));
    } else if (path.starts_with(watchPath)) {
        this->handleWatch(exchange, std::string(path.substr(watchPath.size())));
    } else if (path == "/v1/list") {
        this->handleList(exchange);
    } else {
        this->sendResponse(exchange, {httpNotFound, {}, "unknown path\n"});
    }
}

void PlatformServer::handleObject(const std::shared_ptr<net::HttpExchange> &exchange, const std::string &key)
{
    const auto &request = exchange->request();
    if (request.method != "PUT") {
        ++this->callCounts.reads;
        this->sendResponse(exchange, toResponse(this->table.get(key)));
        return;
    }
    ++this->callCounts.writes;
    const auto result = this->table.put(key, request.body, parseWriteCondition(request.headers));
    if (result.kind == ErrorKind::None) {
        this->respondToWatchers(key);
    }
    if (result.kind == ErrorKind::None && this->faults.responsesToLose > 0) {
        --this->faults.responsesToLose;
        this->sendResponse(exchange, {httpUnavailable, {}, "the answer was lost\n"});
        return;
    }
    this->sendResponse(exchange, toResponse(result));
}

void PlatformServer::handleWatch(const std::shared_ptr<net::HttpExchange> &exchange, const std::string &key)
{
    ++this->callCounts.watches;
    const auto &query = exchange->request().query;
    const auto knownVersion = net::findQueryNumber(query, "known").value_or(0);
    const auto result = this->table.get(key);
    if (result.kind == ErrorKind::None && result.object.version != knownVersion) {
        this->sendResponse(exchange, toResponse(result));
        return;
    }
    const auto wait = std::min(net::findQueryNumber(query, "timeout_ms").value_or(maxWatchMs), maxWatchMs);
    const auto watcher = this->watchers.insert(this->watchers.end(), {key, knownVersion, exchange});
    watcher->timer = this->loop.callAfter(std::chrono::milliseconds(wait), [this, watcher] {
        this->sendResponse(watcher->exchange, {httpNoContent, {}, {}});
        this->watchers.erase(watcher);
    });
}

void PlatformServer::respondToWatchers(const std::string &key)
{
    const auto result = this->table.get(key);
    for (auto at = this->watchers.begin(); at != this->watchers.end();) {
        if (at->key != key) {
            ++at;
            continue;
        }
        this->loop.cancel(at->timer);
        this->sendResponse(at->exchange, toResponse(result));
        at = this->watchers.erase(at);
    }
}

void PlatformServer::handleList(const std::shared_ptr<net::HttpExchange> &exchange)
{
    ++this->callCounts.reads;
    auto items = nlohmann::json::array();
    for (const auto &name : this->table.list(net::findQueryText(exchange->request().query, "prefix")).objects) {
        items.push_back({{"key", name.key}, {"version", name.version}});
    }
    this->sendResponse(exchange, {200, {{"Content-Type", "application/json"}}, items.dump()});
}

void PlatformServer::handleAdmin(const std::shared_ptr<net::HttpExchange> &exchange)
{
    if (exchange->request().path == "/admin/counts") {
        const nlohmann::json counts {
            {"reads", this->callCounts.reads}, {"writes", this->callCounts.writes}, {"watches", this->callCounts.watches}};
        exchange->respond({200, {{"Content-Type", "application/json"}}, counts.dump()});
        return;
    }
    try {
        const auto requested = nlohmann::json::parse(exchange->request().body);
        this->faults.isDown = requested.value("down", false);
        this->faults.delay = std::chrono::milliseconds(requested.value("delay_ms", 0));
        this->faults.responsesToLose = requested.value("lose_answers", 0);
        exchange->respond({200, {}, "faults set\n"});
    } catch (const nlohmann::json::exception &error) {
        exchange->respond({httpBadRequest, {}, std::string(error.what()) + "\n"});
    }
}
} // namespace figpulley::standin
