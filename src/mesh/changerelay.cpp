#include "mesh/changerelay.h"

#include "core/json.h"
#include "core/log.h"
#include "core/logsampler.h"
#include "text/fieldlist.h"

#include <chrono>
#include <numeric>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;

constexpr std::size_t queryFieldCount = 3;
constexpr core::Duration maxWait = 30s;
constexpr core::Duration maxListTime = 200ms; // less than the time that the sender of a query for all objects waits
constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpServiceUnavailable = 503;
constexpr std::size_t maxWholeListBytes = 8 * ChangeRelay::maxPageBytes;
constexpr char pageMark = '/'; // precedes the name, so that the header of the first page has a value
constexpr const char *hasMoreKey = "has_more";
constexpr const char *historyGoneKey = "history_gone";
constexpr const char *eraKey = "era";

// The sender of a query gives up before that. A node that stands still must not keep its answer until the connection is idle for long.
constexpr core::Duration answerStallTimeout = 2s;

net::HttpResponse itemsResponse(const store::CollectionItems &items)
{
    return {httpOk, {{"Content-Type", "application/json"}}, encode(items)};
}

net::HttpResponse sharedResponse(std::shared_ptr<const std::string> text)
{
    return {httpOk, {{"Content-Type", "application/json"}}, {}, std::move(text), answerStallTimeout};
}

// Encodes one object. Only its own content is copied, not that of the objects beside it.
std::string encode(const store::CollectionItem &item)
{
    return nlohmann::json {{"name", item.name}, {"revision", item.revision}, {"content", item.content}, {"deleted", item.isDeleted}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

net::HttpResponse unavailableResponse()
{
    return {httpServiceUnavailable, {}, {}};
}

// Whether a query's revision belongs to another era than the log.
bool isOfOtherEra(const ChangeQuery &query, const store::ChangeLog &log)
{
    return query.revision != 0 && query.era != 0 && query.era != log.era();
}

// Whether a log holds all changes after a query's revision.
bool hasHistory(const ChangeQuery &query, const store::ChangeLog &log)
{
    return !isOfOtherEra(query, log) && log.covers(query.revision);
}

// Whether the sender of a query has all that a log holds.
bool isUpToDate(const ChangeQuery &query, const store::ChangeLog &log)
{
    return query.revision != 0 && hasHistory(query, log) && log.firstChangeAfter(query.revision) == 0;
}

// Returns one page of what a query asks for.
store::CollectionItems pageOf(const store::ChangeLog &log, const ChangeQuery &query)
{
    if (query.revision != 0) {
        return log.changesAfter(query.revision, ChangeRelay::maxPageBytes).value_or(store::CollectionItems {});
    }
    return query.after ? log.list(*query.after, ChangeRelay::maxPageBytes) : log.list();
}

// Whether a query asks for a list in one answer that would be too large.
bool isTooLarge(const ChangeQuery &query, const store::ChangeLog &log)
{
    return query.revision == 0 && !query.after && log.bytes() > maxWholeListBytes;
}

// Answer to a query that finds no changes, or no history of them.
net::HttpResponse emptyResponse(const store::ChangeLog &log, ErrorKind kind)
{
    store::CollectionItems items;
    items.kind = kind;
    items.revision = log.revision();
    items.era = log.era();
    return itemsResponse(items);
}
} // namespace

std::string encode(const ChangeQuery &query)
{
    text::FieldWriter fields;
    fields.add(query.collection);
    fields.add(query.revision);
    fields.add(query.wait.count());
    return fields.take();
}

std::optional<ChangeQuery> decodeChangeQuery(std::string_view text)
{
    const auto fields = text::splitFields<queryFieldCount>(text);
    if (!fields) {
        return std::nullopt;
    }
    ChangeQuery query;
    query.collection = text::unescape((*fields)[0]);
    std::int64_t wait = 0;
    const bool isValid = text::readNumber((*fields)[1], query.revision) && text::readNumber((*fields)[2], wait) && wait >= 0;
    query.wait = std::min(core::Duration(wait), maxWait);
    return isValid ? std::optional(std::move(query)) : std::nullopt;
}

std::string encodePageStart(std::string_view after)
{
    text::FieldWriter fields;
    fields.add(pageMark + std::string(after));
    return fields.take();
}

std::optional<std::string> decodePageStart(std::string_view text)
{
    const auto fields = text::splitFields<1>(text);
    auto name = fields ? text::unescape((*fields)[0]) : std::string();
    if (name.empty() || name.front() != pageMark) {
        return std::nullopt;
    }
    return name.substr(1);
}

std::string encode(const store::CollectionItems &items)
{
    const auto contentBytes = std::accumulate(items.items.begin(), items.items.end(), std::size_t {},
                                              [](std::size_t sum, const auto &item) { return sum + item.content.size(); });
    std::string text;
    text.reserve(contentBytes + contentBytes / 4); // JSON in a JSON string: quotes are escaped
    text += fmt::format(R"({{"revision":{},"{}":{},"{}":{},"{}":{},"items":[)", items.revision, eraKey, items.era, historyGoneKey,
                        items.kind == ErrorKind::HistoryGone, hasMoreKey, items.hasMore);
    for (const auto &item : items.items) {
        text += &item == &items.items.front() ? "" : ",";
        text += encode(item);
    }
    text += "]}";
    return text;
}

store::CollectionItems decodeItems(std::string_view text)
{
    store::CollectionItems items;
    try {
        auto object = core::parseJson(text);
        items.revision = core::countOf(object.at("revision"));
        items.era = object.contains(eraKey) ? core::countOf(object[eraKey]) : 0;
        items.kind = object.at(historyGoneKey).get<bool>() ? ErrorKind::HistoryGone : ErrorKind::None;
        items.hasMore = object.value(hasMoreKey, false);
        for (auto &entry : object.at("items")) {
            items.items.push_back({entry.at("name").get<std::string>(), core::countOf(entry.at("revision")),
                                   std::move(entry.at("content").get_ref<std::string &>()), entry.at("deleted").get<bool>()});
        }
        items.lastName = items.items.empty() ? std::string() : items.items.back().name;
    } catch (const nlohmann::json::exception &) {
        // The caller logs the failure of the peer and queries the store instead.
        items = store::unavailableItems(0);
    }
    return items;
}

ChangeRelay::ChangeRelay(MeshContext context)
    : context(context)
{
    // The text is released while its connection is in use, so the waiting queries are answered later.
    context.answers.setOnRoom([this] {
        if (std::exchange(this->isAnsweringPosted, true)) {
            return;
        }
        this->context.loop.post([this, token = std::weak_ptr<bool>(this->lifetimeToken)] {
            if (!token.expired()) {
                this->isAnsweringPosted = false;
                this->answerAll();
            }
        });
    });
}

ChangeRelay::~ChangeRelay()
{
    this->context.answers.setOnRoom(nullptr);
    for (auto &[collection, state] : this->collections) {
        for (const auto &waiter : state.waiters) {
            this->context.loop.cancel(waiter.timer);
            waiter.exchange->onCancelled(nullptr);
        }
    }
}

store::ChangeLog &ChangeRelay::changeLog(const std::string &collection, store::ChangeLogLimits limits)
{
    const auto [position, isNew] = this->collections.try_emplace(collection);
    auto &log = position->second.log;
    if (isNew) {
        log = store::ChangeLog(limits);
    }
    return log;
}

std::size_t ChangeRelay::logBytes() const noexcept
{
    return std::accumulate(this->collections.begin(), this->collections.end(), std::size_t {},
                           [](std::size_t sum, const auto &entry) { return sum + entry.second.log.bytes(); });
}

ChangeRelay::Waiter ChangeRelay::removeWaiter(CollectionState &state, WaiterPosition position)
{
    auto waiter = std::move(*position);
    state.waiters.erase(position);
    this->context.loop.cancel(waiter.timer);
    return waiter;
}

// Returns the text of an answer with objects, or null if the pool is full.
std::shared_ptr<const std::string> ChangeRelay::textOf(CollectionState &state, const ChangeQuery &query, std::uint64_t firstChange)
{
    const AnswerKey key {state.log.era(), state.log.revision(), firstChange, query.after};
    if (auto text = state.latestText.lock(); text && state.latestKey == key) {
        return text;
    }
    if (this->context.answers.isFull()) {
        return nullptr;
    }
    auto text = this->context.answers.add(encode(pageOf(state.log, query)));
    state.latestKey = key;
    state.latestText = text;
    return text;
}

// Returns the answer to a query, or nothing if the pool is full.
std::optional<net::HttpResponse> ChangeRelay::answer(CollectionState &state, const ChangeQuery &query)
{
    const auto &log = state.log;
    if (isUpToDate(query, log)) {
        return emptyResponse(log, ErrorKind::None);
    }
    if (query.revision != 0 && !hasHistory(query, log)) {
        return emptyResponse(log, ErrorKind::HistoryGone);
    }
    const auto firstChange = query.revision == 0 ? 0 : log.firstChangeAfter(query.revision);
    if (auto text = this->textOf(state, query, firstChange)) {
        return sharedResponse(std::move(text));
    }
    if (const auto omittedLines = this->context.sampler.tryAcquire("changes.deferred", core::steadyNow())) {
        core::log(core::LogLevel::Warning, "changes.deferred",
                  {{"collection", query.collection},
                   {"revision", fmt::to_string(query.revision)},
                   {"answer_bytes", fmt::to_string(this->context.answers.bytes())},
                   {"waiting", fmt::to_string(state.waiters.size())},
                   {"left_out", fmt::to_string(*omittedLines)}});
    }
    return std::nullopt;
}

void ChangeRelay::answerWaiters(const std::string &collection)
{
    auto &state = this->collections[collection];
    if (!this->isServing(state)) {
        this->refuseWaiters(state);
        return;
    }
    if (!this->isListed(state)) {
        return;
    }
    std::shared_ptr<const std::string> text; // keeps the text between two waiters, of which the first may have read it at once
    for (auto at = state.waiters.begin(); at != state.waiters.end();) {
        const auto position = at++;
        const auto &query = position->query;
        if (isUpToDate(query, state.log)) {
            continue;
        }
        if (auto response = this->answer(state, query)) {
            text = response->sharedBody ? response->sharedBody : text;
            this->removeWaiter(state, position).exchange->respond(std::move(*response));
        }
    }
}

void ChangeRelay::answerAll()
{
    for (const auto &[collection, state] : this->collections) {
        this->answerWaiters(collection);
    }
}

void ChangeRelay::setUpToDate(const std::string &collection, bool isUpToDate)
{
    auto &state = this->collections[collection];
    state.isUpToDate = isUpToDate;
    if (!isUpToDate) {
        this->refuseWaiters(state);
    }
}

void ChangeRelay::refuseWaiters(CollectionState &state)
{
    while (!state.waiters.empty()) {
        this->removeWaiter(state, state.waiters.begin()).exchange->respond(unavailableResponse());
    }
}

void ChangeRelay::close()
{
    this->isClosed = true;
    for (auto &[collection, state] : this->collections) {
        this->refuseWaiters(state);
    }
}

void ChangeRelay::accept(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto &headers = exchange->request().headers;
    auto query = decodeChangeQuery(net::findHeader(headers, header));
    if (!query) {
        exchange->respond({httpBadRequest, {}, {}});
        return;
    }
    if (!text::readNumber(net::findHeader(headers, eraHeader), query->era)) {
        query->era = 0;
    }
    query->after = decodePageStart(net::findHeader(headers, pageHeader));
    // The sender may have noticed a restore first. Learning of it makes this node list its collections again.
    static_cast<void>(this->context.storeEra.deliver(query->era, [] {}));
    const auto found = this->collections.find(query->collection);
    if (this->isClosed || found == this->collections.end() || !this->isServing(found->second)) {
        exchange->respond(unavailableResponse());
        return;
    }
    auto &state = found->second;
    if (isTooLarge(*query, state.log)) {
        exchange->respond(unavailableResponse());
        return;
    }
    if (!this->isListed(state)) {
        // A list takes one call to the store; refusing queries meanwhile would send all their senders there.
        query->wait = std::max(query->wait, maxListTime);
        this->addWaiter(state, *query, exchange);
        return;
    }
    if (!isUpToDate(*query, state.log)) {
        if (auto response = this->answer(state, *query)) {
            exchange->respond(std::move(*response));
            return;
        }
        query->wait = std::max(query->wait, maxListTime);
    }
    this->addWaiter(state, *query, exchange);
}

bool ChangeRelay::isListed(const CollectionState &state) const
{
    return state.log.revision() != 0 && state.log.era() == this->context.storeEra.current();
}

bool ChangeRelay::isServing(const CollectionState &state) const
{
    return state.isUpToDate && !state.log.isTruncated();
}

void ChangeRelay::addWaiter(CollectionState &state, ChangeQuery query, const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto delay = query.wait;
    const auto position = state.waiters.insert(state.waiters.end(), {std::move(query), exchange});
    position->timer = this->context.loop.callAfter(delay, [this, &state, position] {
        position->timer = net::EventLoop::noTimer;
        const auto waiter = this->removeWaiter(state, position);
        const bool isKnown = this->isListed(state) && this->isServing(state) && !isTooLarge(waiter.query, state.log);
        if (auto response = isKnown ? this->answer(state, waiter.query) : std::nullopt) {
            waiter.exchange->respond(std::move(*response));
            return;
        }
        if (isKnown || waiter.query.revision == 0 || !this->isServing(state)) {
            waiter.exchange->respond(unavailableResponse());
            return;
        }
        store::CollectionItems noChanges;
        noChanges.revision = waiter.query.revision;
        noChanges.era = waiter.query.era;
        waiter.exchange->respond(itemsResponse(noChanges));
    });
    exchange->onCancelled([this, &state, position] { static_cast<void>(this->removeWaiter(state, position)); });
}
} // namespace figpulley::mesh
