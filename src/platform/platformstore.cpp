#include "platform/platformstore.h"

#include "core/json.h"
#include "core/log.h"
#include "platform/names.h"
#include "store/objectstore.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>
#include <unordered_set>

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
// A page has at most 1 MB, and so has an object. A watch that was cut off for long may get more, as it reports every version.
constexpr std::size_t maxResponseBytes = 4 * store::maxValueBytes;
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

std::string_view memberOf(std::string_view object, std::string_view key)
{
    return core::findJsonMember(object, key).value_or(std::string_view());
}

std::optional<std::uint64_t> readRevision(std::string_view text)
{
    const auto number = core::wholeNumber(core::parseJson(text));
    return number && *number >= 0 ? std::optional(static_cast<std::uint64_t>(*number)) : std::nullopt;
}

std::optional<std::string> readName(std::string_view object)
{
    const auto name = core::parseJson(memberOf(memberOf(object, names::metadata), names::name));
    return name.is_string() ? std::optional(name.get<std::string>()) : std::nullopt;
}

// Reads an object of the store. Its spec is content of its writer and is passed on as it stands, whatever it is.
// Returns nothing if the name or the revision cannot be read.
std::optional<CollectionItem> readItem(std::string_view object)
{
    auto name = readName(object);
    const auto revision = readRevision(memberOf(memberOf(object, names::metadata), names::revision));
    if (!name || !revision) {
        return std::nullopt;
    }
    return CollectionItem {std::move(*name), *revision, std::string(memberOf(object, names::spec)), false};
}

// Reads the objects of a list. One that cannot be read costs only itself.
bool readObjects(CollectionItems &items, std::string_view array)
{
    const auto objects = core::splitJsonArray(array);
    if (!objects) {
        return false;
    }
    for (const auto object : *objects) {
        items.lastName = readName(object).value_or(items.lastName);
        if (auto item = readItem(object)) {
            items.items.push_back(std::move(*item));
        } else {
            ++items.unreadable;
        }
    }
    return true;
}

// Reads the changes that a watch reports, of each object only the last one. One that cannot be read costs only itself.
bool readEvents(CollectionItems &items, std::string_view array)
{
    const auto events = core::splitJsonArray(array);
    if (!events) {
        return false;
    }
    std::unordered_set<std::string> readNames;
    for (auto event = events->rbegin(); event != events->rend(); ++event) {
        const auto object = memberOf(*event, names::object);
        const auto name = readName(object);
        if (name && readNames.contains(*name)) {
            continue;
        }
        if (auto item = readItem(object)) {
            item->isDeleted = memberOf(*event, names::deleted) == "true";
            readNames.insert(item->name);
            items.items.push_back(std::move(*item));
        } else {
            ++items.unreadable;
        }
    }
    std::reverse(items.items.begin(), items.items.end());
    return true;
}

CollectionItems readItems(const net::ClientResponse &response)
{
    CollectionItems items;
    items.era = readEra(response);
    if (response.result.isTooLarge) {
        // Only a watch may get so much. A list brings the same state in pages, without the versions in between.
        core::log(core::LogLevel::Info, "store.response_too_large", {{"declared_bytes", fmt::to_string(response.head.length.value_or(0))}});
        items.kind = ErrorKind::HistoryGone;
        return items;
    }
    if (response.result.kind != ErrorKind::None || response.head.status != httpOk) {
        items.kind = response.head.status == httpGone && response.result.kind == ErrorKind::None ? ErrorKind::HistoryGone
                                                                                                 : ErrorKind::PlatformUnavailable;
        return items;
    }
    const auto revision = readRevision(memberOf(response.body, names::currentRevision));
    const auto objects = core::findJsonMember(response.body, names::items);
    const auto events = core::findJsonMember(response.body, names::events);
    const bool isReadable = revision && (!objects || readObjects(items, *objects)) && (!events || readEvents(items, *events));
    if (!isReadable) {
        return store::unavailableItems(items.era);
    }
    items.revision = *revision;
    items.hasMore = memberOf(response.body, names::hasMore) == "true";
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
    if (auto item = readItem(response.body)) {
        result.item = std::move(*item);
    } else if (status != httpConflict) {
        result.kind = failureKind(response, isWrite);
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
                       [callback = std::move(callback)](const net::ClientResponse &response) { callback(readItems(response)); });
}

void PlatformStore::watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback)
{
    auto request = this->request(
        "GET",
        fmt::format("{}?{}={}&{}={}", collection, names::watchParameter, revision, names::waitParameter, core::toMilliseconds(wait)));
    request.timeout = wait + watchMargin;
    this->client.fetch(request, maxResponseBytes,
                       [callback = std::move(callback)](const net::ClientResponse &response) { callback(readItems(response)); });
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
    const json object {{names::metadata, std::move(metadata)}, {names::spec, core::parseJson(content)}};
    auto request = revision == 0 ? this->request("POST", collection) : this->request("PUT", collection + "/" + name);
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = object.dump(-1, ' ', false, json::error_handler_t::replace);
    this->client.fetch(request, maxResponseBytes,
                       [callback = std::move(callback)](const net::ClientResponse &response) { callback(parseResult(response, true)); });
}
} // namespace figpulley::platform
