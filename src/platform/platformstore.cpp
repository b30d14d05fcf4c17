#include "platform/platformstore.h"

#include "core/log.h"
#include "platform/names.h"

#include <charconv>
#include <chrono>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::platform
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;
using nlohmann::json;
using store::CollectionItem;
using store::CollectionItems;
using store::ItemResult;

constexpr core::Duration callTimeout = 1500ms; // the store responds within 4 ms, a slow store within about 400 ms
constexpr core::Duration connectTimeout = 700ms;
// Time beyond the requested wait after which a watch times out; a slow store needs about 250 ms.
constexpr core::Duration watchMargin = 500ms;
constexpr core::Duration acknowledgementTimeout = 2s; // a connection without TCP acknowledgements for this long is closed
constexpr std::size_t maxResponseBytes = 8UL << 20U; // a page has at most 1 MB, and so has an object
constexpr int httpOk = 200;
constexpr int httpCreated = 201;
constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;
constexpr int httpGone = 410;
constexpr int httpTooManyRequests = 429;
constexpr int httpServiceUnavailable = 503;

// Reads the era that a response states. Responses of every status state it.
std::uint64_t readEra(const net::ClientResponse &response)
{
    const auto text = net::findHeader(response.head.headers, names::storeEra);
    std::uint64_t era = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), era);
    if (error == std::errc() && end == text.data() + text.size()) {
        return era;
    }
    if (!text.empty()) {
        core::log(core::LogLevel::Warning, "store.era_invalid", {{"value", std::string(text)}});
    }
    return 0;
}

// Parses an object of the store. Its spec, which is the content that its writer stored, is kept as JSON text.
CollectionItem parseItem(const json &object)
{
    CollectionItem item;
    const auto &metadata = object.at(names::metadata);
    item.name = metadata.at(names::name).get<std::string>();
    item.revision = metadata.at(names::revision).get<std::uint64_t>();
    const auto spec = object.find(names::spec);
    item.content = spec == object.end() ? std::string() : spec->dump();
    return item;
}

// Skips an object that cannot be parsed, so that an invalid object of another writer does not make the whole list unusable.
void appendItem(CollectionItems &items, const json &object, bool isDeleted)
{
    try {
        auto item = parseItem(object);
        item.isDeleted = isDeleted;
        items.items.push_back(std::move(item));
    } catch (const json::exception &) {
        return;
    }
}

CollectionItems parseItems(const net::ClientResponse &response)
{
    CollectionItems items;
    items.era = readEra(response);
    if (response.result.kind != ErrorKind::None || response.head.status != httpOk) {
        items.kind = response.head.status == httpGone && response.result.kind == ErrorKind::None ? ErrorKind::HistoryGone
                                                                                                 : ErrorKind::PlatformUnavailable;
        return items;
    }
    try {
        const auto body = json::parse(response.body);
        items.revision = body.at(names::currentRevision).get<std::uint64_t>();
        if (body.contains(names::items)) {
            for (const auto &object : body[names::items]) {
                appendItem(items, object, false);
            }
        }
        if (body.contains(names::events)) {
            for (const auto &event : body[names::events]) {
                appendItem(items, event.at(names::object), event.value(names::deleted, false));
            }
        }
        items.hasMore = body.value(names::hasMore, false);
    } catch (const json::exception &) {
        items = store::unavailableItems(items.era);
    }
    return items;
}

// A write that fails after it was sent may have taken effect, or may still do so.
ErrorKind failureKind(const net::ClientResponse &response, bool isWrite)
{
    const bool wasRefused = response.result.kind == ErrorKind::None
        && (response.head.status == httpTooManyRequests || response.head.status == httpServiceUnavailable);
    const bool wasNotSent = response.result.kind != ErrorKind::None && core::errorProperties(response.result.kind).ran == core::Ran::No;
    return !isWrite || wasRefused || wasNotSent ? ErrorKind::PlatformUnavailable : ErrorKind::PlatformOutcomeUnknown;
}

ItemResult parseResult(const net::ClientResponse &response, bool isWrite)
{
    ItemResult result;
    result.era = readEra(response);
    const auto status = response.result.kind == ErrorKind::None ? response.head.status : 0;
    if (status == httpNotFound) {
        result.kind = ErrorKind::NotFound;
        return result;
    }
    if (status != httpOk && status != httpCreated && status != httpConflict) {
        result.kind = failureKind(response, isWrite);
        return result;
    }
    result.kind = status == httpConflict ? ErrorKind::Conflict : ErrorKind::None;
    try {
        result.item = parseItem(json::parse(response.body));
    } catch (const json::exception &) {
        result.kind = status == httpConflict ? ErrorKind::Conflict : failureKind(response, isWrite);
    }
    return result;
}
} // namespace

PlatformStore::PlatformStore(net::HttpClient &client, std::string address)
    : client(client)
    , address(std::move(address))
{
}

net::ClientRequest PlatformStore::request(std::string method, const std::string &path) const
{
    net::ClientRequest request;
    request.method = std::move(method);
    request.url = fmt::format("http://{}{}{}", this->address, names::objectsPath, path);
    request.timeout = callTimeout;
    request.connectTimeout = connectTimeout;
    request.ackTimeout = acknowledgementTimeout;
    request.mayResend = request.method == "GET";
    return request;
}

void PlatformStore::list(const std::string &collection, const std::string &after, ItemsCallback callback)
{
    const auto query = after.empty() ? std::string() : fmt::format("?{}={}", names::afterParameter, after);
    this->client.fetch(this->request("GET", collection + query), maxResponseBytes,
                       [callback = std::move(callback)](const net::ClientResponse &response) { callback(parseItems(response)); });
}

void PlatformStore::watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback)
{
    auto request = this->request(
        "GET",
        fmt::format("{}?{}={}&{}={}", collection, names::watchParameter, revision, names::waitParameter, core::toMilliseconds(wait)));
    request.timeout = wait + watchMargin;
    this->client.fetch(request, maxResponseBytes,
                       [callback = std::move(callback)](const net::ClientResponse &response) { callback(parseItems(response)); });
}

void PlatformStore::get(const std::string &collection, const std::string &name, ItemCallback callback)
{
    this->client.fetch(this->request("GET", collection + "/" + name), maxResponseBytes,
                       [callback = std::move(callback)](const net::ClientResponse &response) { callback(parseResult(response, false)); });
}

void PlatformStore::put(const std::string &collection, const std::string &name, const std::string &content, std::uint64_t revision,
                        ItemCallback callback)
{
    json metadata {{names::name, name}};
    if (revision != 0) {
        metadata[names::revision] = revision;
    }
    metadata[names::finalizers] = json::array();
    const json object {{names::metadata, std::move(metadata)}, {names::spec, json::parse(content, nullptr, false)}};
    auto request = revision == 0 ? this->request("POST", collection) : this->request("PUT", collection + "/" + name);
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = object.dump(-1, ' ', false, json::error_handler_t::replace);
    this->client.fetch(request, maxResponseBytes,
                       [callback = std::move(callback)](const net::ClientResponse &response) { callback(parseResult(response, true)); });
}
} // namespace figpulley::platform
