#include "platform/platformstore.h"

#include "platform/names.h"

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

constexpr core::Duration callTimeout = 1500ms; // the store answers in 4 ms, and in some 400 ms when it is slow
constexpr core::Duration connectTimeout = 700ms;
constexpr core::Duration watchMargin = 500ms; // beyond the wait that the watch asked for; a slow store needs some 250 ms
constexpr core::Duration silence = 2s; // a connection that acknowledges nothing for so long is given up
constexpr std::size_t largestAnswer = 8UL << 20U; // a page is 1 MB at most, an object as well
constexpr int httpOk = 200;
constexpr int httpCreated = 201;
constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;
constexpr int httpGone = 410;
constexpr int httpTooMany = 429;
constexpr int httpServiceUnavailable = 503;

// The content of an object is what its writer put there, as text.
CollectionItem itemOf(const json &object)
{
    CollectionItem item;
    const auto &metadata = object.at(names::metadata);
    item.name = metadata.at(names::name).get<std::string>();
    item.revision = metadata.at(names::revision).get<std::uint64_t>();
    const auto spec = object.find(names::spec);
    item.content = spec == object.end() ? std::string() : spec->dump();
    return item;
}

// Objects that cannot be read are left out one by one: other writers may have made them.
void appendItem(CollectionItems &items, const json &object, bool isDeleted)
{
    try {
        auto item = itemOf(object);
        item.isDeleted = isDeleted;
        items.items.push_back(std::move(item));
    } catch (const json::exception &) {
        return;
    }
}

CollectionItems itemsOf(const net::ClientResponse &answer)
{
    CollectionItems items;
    if (answer.result.kind != ErrorKind::None || answer.head.status != httpOk) {
        items.kind = answer.head.status == httpGone && answer.result.kind == ErrorKind::None ? ErrorKind::HistoryGone
                                                                                             : ErrorKind::PlatformUnavailable;
        return items;
    }
    try {
        const auto body = json::parse(answer.body);
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
        items = {};
        items.kind = ErrorKind::PlatformUnavailable;
    }
    return items;
}

// A write that fails on its way may have taken effect, or may still do so.
ErrorKind failureOf(const net::ClientResponse &answer, bool isWrite)
{
    const bool wasRefused =
        answer.result.kind == ErrorKind::None && (answer.head.status == httpTooMany || answer.head.status == httpServiceUnavailable);
    const bool didNotReach = answer.result.kind != ErrorKind::None && core::answerFor(answer.result.kind).ran == core::Ran::No;
    return !isWrite || wasRefused || didNotReach ? ErrorKind::PlatformUnavailable : ErrorKind::PlatformOutcomeUnknown;
}

ItemResult resultOf(const net::ClientResponse &answer, bool isWrite)
{
    ItemResult result;
    const auto status = answer.result.kind == ErrorKind::None ? answer.head.status : 0;
    if (status == httpNotFound) {
        result.kind = ErrorKind::NotFound;
        return result;
    }
    if (status != httpOk && status != httpCreated && status != httpConflict) {
        result.kind = failureOf(answer, isWrite);
        return result;
    }
    result.kind = status == httpConflict ? ErrorKind::Conflict : ErrorKind::None;
    try {
        result.item = itemOf(json::parse(answer.body));
    } catch (const json::exception &) {
        result.kind = status == httpConflict ? ErrorKind::Conflict : failureOf(answer, isWrite);
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
    request.ackTimeout = silence;
    request.mayResend = request.method == "GET";
    return request;
}

void PlatformStore::list(const std::string &collection, const std::string &after, ItemsCallback callback)
{
    const auto query = after.empty() ? std::string() : fmt::format("?{}={}", names::afterParameter, after);
    this->client.fetch(this->request("GET", collection + query), largestAnswer,
                       [callback = std::move(callback)](const net::ClientResponse &answer) { callback(itemsOf(answer)); });
}

void PlatformStore::watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback)
{
    auto request = this->request(
        "GET",
        fmt::format("{}?{}={}&{}={}", collection, names::watchParameter, revision, names::waitParameter, core::toMilliseconds(wait)));
    request.timeout = wait + watchMargin;
    this->client.fetch(request, largestAnswer,
                       [callback = std::move(callback)](const net::ClientResponse &answer) { callback(itemsOf(answer)); });
}

void PlatformStore::get(const std::string &collection, const std::string &name, ItemCallback callback)
{
    this->client.fetch(this->request("GET", collection + "/" + name), largestAnswer,
                       [callback = std::move(callback)](const net::ClientResponse &answer) { callback(resultOf(answer, false)); });
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
    this->client.fetch(request, largestAnswer,
                       [callback = std::move(callback)](const net::ClientResponse &answer) { callback(resultOf(answer, true)); });
}
} // namespace figpulley::platform
