#include "store/httpobjectstore.h"

#include "core/json.h"

#include <charconv>
#include <chrono>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::store
{
namespace
{
using core::ErrorKind;

constexpr std::size_t maxResponseBytes = maxValueBytes + 4096;
constexpr std::size_t maxListBytes = 64UL << 20U;
constexpr int httpOk = 200;
constexpr int httpCreated = 201;
constexpr int httpNoContent = 204;
constexpr int httpNotFound = 404;
constexpr int httpPreconditionFailed = 412;
constexpr int httpTooLarge = 413;
constexpr core::Duration watchMargin = std::chrono::seconds(2);

std::uint64_t parseVersion(const net::Headers &headers)
{
    auto tag = net::findHeader(headers, "ETag");
    if (tag.size() >= 2 && tag.front() == '"') {
        tag = tag.substr(1, tag.size() - 2);
    }
    std::uint64_t version = 0;
    std::from_chars(tag.data(), tag.data() + tag.size(), version);
    return version;
}

// A failed read has no effect; a write that fails after it was sent may have taken effect.
ErrorKind transportFailureKind(ErrorKind kind, bool isWrite)
{
    const bool wasNotSent = core::errorProperties(kind).ran == core::Ran::No;
    return !isWrite || wasNotSent ? ErrorKind::PlatformUnavailable : ErrorKind::PlatformOutcomeUnknown;
}

StoreResult parseResult(const net::ClientResponse &response, bool isWrite)
{
    StoreResult result;
    if (response.result.kind != ErrorKind::None) {
        result.kind = transportFailureKind(response.result.kind, isWrite);
        return result;
    }
    result.object.version = parseVersion(response.head.headers);
    switch (response.head.status) {
    case httpOk:
    case httpCreated:
        result.object.value = isWrite ? std::string() : response.body;
        break;
    case httpNoContent:
        break;
    case httpNotFound:
        result.kind = ErrorKind::NotFound;
        break;
    case httpPreconditionFailed:
        result.kind = ErrorKind::Conflict;
        break;
    case httpTooLarge:
        result.kind = ErrorKind::BodyTooLarge;
        break;
    default:
        // After a server error, the write may or may not have taken effect.
        result.kind = isWrite ? ErrorKind::PlatformOutcomeUnknown : ErrorKind::PlatformUnavailable;
    }
    return result;
}
} // namespace

HttpObjectStore::HttpObjectStore(net::HttpClient &client, std::string address, core::Duration timeout)
    : client(client)
    , address(std::move(address))
    , timeout(timeout)
{
}

net::ClientRequest HttpObjectStore::request(std::string method, const std::string &path) const
{
    net::ClientRequest request;
    request.method = std::move(method);
    request.url = fmt::format("http://{}{}", this->address, path);
    request.timeout = this->timeout;
    request.mayResend = request.method == "GET";
    return request;
}

void HttpObjectStore::get(const std::string &key, Callback callback)
{
    this->client.fetch(this->request("GET", "/v1/objects/" + key), maxResponseBytes,
                       [callback = std::move(callback)](const net::ClientResponse &response) { callback(parseResult(response, false)); });
}

void HttpObjectStore::put(const std::string &key, const std::string &value, WriteCondition condition, Callback callback)
{
    auto request = this->request("PUT", "/v1/objects/" + key);
    request.body = value;
    if (condition.version && *condition.version == 0) {
        request.headers.push_back({"If-None-Match", "*"});
    } else if (condition.version) {
        request.headers.push_back({"If-Match", fmt::format("\"{}\"", *condition.version)});
    }
    this->client.fetch(request, maxResponseBytes,
                       [callback = std::move(callback)](const net::ClientResponse &response) { callback(parseResult(response, true)); });
}

void HttpObjectStore::watch(const std::string &key, std::uint64_t knownVersion, core::Duration timeout, Callback callback)
{
    auto request =
        this->request("GET", fmt::format("/v1/watch/{}?known={}&timeout_ms={}", key, knownVersion, core::toMilliseconds(timeout)));
    request.timeout = timeout + watchMargin;
    this->client.fetch(request, maxResponseBytes, [callback = std::move(callback), knownVersion](const net::ClientResponse &response) {
        auto result = parseResult(response, false);
        if (response.result.kind == ErrorKind::None && response.head.status == httpNoContent) {
            result.object.version = knownVersion;
        }
        callback(result);
    });
}

void HttpObjectStore::list(const std::string &prefix, ListCallback callback)
{
    this->client.fetch(this->request("GET", "/v1/list?prefix=" + prefix), maxListBytes,
                       [callback = std::move(callback)](const net::ClientResponse &response) {
                           ListResult result;
                           if (response.result.kind != ErrorKind::None || response.head.status != httpOk) {
                               result.kind = ErrorKind::PlatformUnavailable;
                               callback(result);
                               return;
                           }
                           try {
                               for (const auto &item : core::parseJson(response.body)) {
                                   result.objects.push_back({item.at("key").get<std::string>(), item.at("version").get<std::uint64_t>()});
                               }
                           } catch (const nlohmann::json::exception &) {
                               result.kind = ErrorKind::PlatformUnavailable;
                           }
                           callback(result);
                       });
}
} // namespace figpulley::store
