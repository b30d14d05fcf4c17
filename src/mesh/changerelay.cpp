#include "mesh/changerelay.h"

#include "text/fieldlist.h"

#include <chrono>

#include <nlohmann/json.hpp>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;

constexpr std::size_t queryFields = 3;
constexpr core::Duration longestWait = 30s;
constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpServiceUnavailable = 503;
constexpr const char *historyGone = "history_gone";

net::HttpAnswer answerOf(const store::CollectionItems &items)
{
    return {httpOk, {{"Content-Type", "application/json"}}, encode(items)};
}

net::HttpAnswer refusal()
{
    return {httpServiceUnavailable, {}, {}};
}

store::CollectionItems changesFor(const store::ChangeLog &log, std::uint64_t revision)
{
    store::CollectionItems items;
    items.revision = log.revision();
    if (revision == 0) {
        items.items = log.allItems();
    } else if (auto changes = log.changesAfter(revision)) {
        items.items = std::move(*changes);
    } else {
        items.kind = ErrorKind::HistoryGone;
    }
    return items;
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
    const auto fields = text::splitFields<queryFields>(text);
    if (!fields) {
        return std::nullopt;
    }
    ChangeQuery query;
    query.collection = text::unescape((*fields)[0]);
    std::int64_t wait = 0;
    const bool isValid = text::readNumber((*fields)[1], query.revision) && text::readNumber((*fields)[2], wait) && wait >= 0;
    query.wait = std::min(core::Duration(wait), longestWait);
    return isValid ? std::optional(std::move(query)) : std::nullopt;
}

std::string encode(const store::CollectionItems &items)
{
    auto list = nlohmann::json::array();
    for (const auto &item : items.items) {
        list.push_back({{"name", item.name}, {"revision", item.revision}, {"content", item.content}, {"deleted", item.isDeleted}});
    }
    return nlohmann::json {{"revision", items.revision}, {historyGone, items.kind == ErrorKind::HistoryGone}, {"items", std::move(list)}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

store::CollectionItems decodeItems(std::string_view text)
{
    store::CollectionItems items;
    try {
        const auto object = nlohmann::json::parse(text);
        items.revision = object.at("revision").get<std::uint64_t>();
        items.kind = object.at(historyGone).get<bool>() ? ErrorKind::HistoryGone : ErrorKind::None;
        for (const auto &entry : object.at("items")) {
            items.items.push_back({entry.at("name").get<std::string>(), entry.at("revision").get<std::uint64_t>(),
                                   entry.at("content").get<std::string>(), entry.at("deleted").get<bool>()});
        }
    } catch (const nlohmann::json::exception &) {
        // The caller logs that the peer did not answer, and asks the store.
        items = {};
        items.kind = ErrorKind::PlatformUnavailable;
    }
    return items;
}

ChangeRelay::ChangeRelay(MeshContext context)
    : context(context)
{
}

ChangeRelay::~ChangeRelay()
{
    for (auto &[collection, topic] : this->topics) {
        for (const auto &waiter : topic.waiters) {
            this->context.loop.cancel(waiter.timer);
            waiter.exchange->onCancelled(nullptr);
        }
    }
}

store::ChangeLog &ChangeRelay::log(const std::string &collection)
{
    return this->topics[collection].log;
}

ChangeRelay::Waiter ChangeRelay::take(Topic &topic, WaiterPosition position)
{
    auto waiter = std::move(*position);
    topic.waiters.erase(position);
    this->context.loop.cancel(waiter.timer);
    return waiter;
}

void ChangeRelay::caughtUp(const std::string &collection)
{
    auto &topic = this->topics[collection];
    for (auto at = topic.waiters.begin(); at != topic.waiters.end();) {
        const auto position = at++;
        const auto items = changesFor(topic.log, position->query.revision);
        if (items.kind != ErrorKind::None || !items.items.empty()) {
            this->take(topic, position).exchange->answer(answerOf(items));
        }
    }
}

void ChangeRelay::setDirect(const std::string &collection, bool isDirect)
{
    auto &topic = this->topics[collection];
    topic.isDirect = isDirect;
    if (!isDirect) {
        this->refuseAll(topic);
    }
}

void ChangeRelay::refuseAll(Topic &topic)
{
    while (!topic.waiters.empty()) {
        this->take(topic, topic.waiters.begin()).exchange->answer(refusal());
    }
}

void ChangeRelay::close()
{
    this->isClosed = true;
    for (auto &[collection, topic] : this->topics) {
        this->refuseAll(topic);
    }
}

void ChangeRelay::accept(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto query = decodeChangeQuery(net::findHeader(exchange->request().headers, header));
    if (!query) {
        exchange->answer({httpBadRequest, {}, {}});
        return;
    }
    const auto found = this->topics.find(query->collection);
    if (this->isClosed || found == this->topics.end() || !found->second.isDirect || found->second.log.revision() == 0) {
        exchange->answer(refusal());
        return;
    }
    auto &topic = found->second;
    const auto items = changesFor(topic.log, query->revision);
    if (query->revision == 0 || items.kind != ErrorKind::None || !items.items.empty()) {
        exchange->answer(answerOf(items));
        return;
    }
    this->wait(topic, *query, exchange);
}

void ChangeRelay::wait(Topic &topic, ChangeQuery query, const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto delay = query.wait;
    const auto position = topic.waiters.insert(topic.waiters.end(), {std::move(query), exchange});
    position->timer = this->context.loop.after(delay, [this, &topic, position] {
        position->timer = net::EventLoop::noTimer;
        const auto waiter = this->take(topic, position);
        waiter.exchange->answer(answerOf(changesFor(topic.log, waiter.query.revision)));
    });
    exchange->onCancelled([this, &topic, position] { static_cast<void>(this->take(topic, position)); });
}
} // namespace figpulley::mesh
