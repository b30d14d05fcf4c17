#include "mesh/relayedstore.h"

#include "core/log.h"
#include "discovery/watchers.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;

// A failed watcher is noticed within half of the time in which a change has to be active.
constexpr core::Duration watcherWait = 1s;
// Added to the wait for the round trip between nodes of a zone and for a busy watcher.
constexpr core::Duration watcherMargin = 250ms;
constexpr core::Duration watcherConnectTimeout = 200ms;
constexpr std::size_t maxResponseBytes = 16UL << 20U;
constexpr int httpOk = 200;
} // namespace

RelayedStore::RelayedStore(MeshContext context, ChangeRelay &relay)
    : context(context)
    , relay(relay)
{
}

// Returns the watcher to query, or an empty text if this node has to query the store itself.
std::string RelayedStore::selectWatcher(core::TimePoint now) const
{
    const auto own = this->context.settings.ingress.toString();
    const auto watchers = discovery::selectWatchers(this->context.board.directory.read(), this->context.settings.availabilityZone, own);
    if (std::find(watchers.begin(), watchers.end(), own) != watchers.end()) {
        return {};
    }
    return this->access.selectWatcher(watchers, now);
}

void RelayedStore::queryWatcher(const std::string &node, const ChangeQuery &query, ItemsCallback callback, std::function<void()> fallback)
{
    this->relay.setReadFromStore(query.collection, false);
    net::ClientRequest request;
    request.url = fmt::format("http://{}/", node);
    request.headers.push_back({ChangeRelay::header, encode(query)});
    request.headers.push_back({ChangeRelay::eraHeader, fmt::to_string(this->context.storeEra.current())});
    request.timeout = query.wait + watcherMargin;
    request.connectTimeout = watcherConnectTimeout;
    this->context.client.fetch(request, maxResponseBytes,
                               [this, node, collection = query.collection, callback = std::move(callback), fallback = std::move(fallback),
                                token = std::weak_ptr<bool>(this->lifetimeToken)](const net::ClientResponse &response) {
                                   if (token.expired()) {
                                       return;
                                   }
                                   const bool isAnswered = response.result.kind == ErrorKind::None && response.head.status == httpOk;
                                   const auto items = isAnswered ? decodeItems(response.body) : store::CollectionItems {};
                                   if (isAnswered && items.kind != ErrorKind::PlatformUnavailable) {
                                       this->deliver(items, callback);
                                       return;
                                   }
                                   core::log(core::LogLevel::Info, "watcher.avoided",
                                             {{"node", node},
                                              {"collection", collection},
                                              {"kind", std::string(core::errorProperties(response.result.kind).name)},
                                              {"status", fmt::to_string(response.head.status)}});
                                   this->handleWatcherFailure(node, response.result.kind == ErrorKind::None, callback, fallback);
                               });
}

void RelayedStore::handleWatcherFailure(const std::string &node, bool isRefusal, const ItemsCallback &callback,
                                        const std::function<void()> &fallback)
{
    const auto now = core::steadyNow();
    if (isRefusal) {
        this->access.watcherRefused(node, now);
    } else {
        this->access.watcherLost(node, now);
    }
    if (this->access.mayReadStore(now)) {
        fallback();
        return;
    }
    callback(store::unavailableItems(this->context.storeEra.current()));
}

// A watcher that answers with an earlier era has learned of the current one from the query, so the caller can query it again soon.
void RelayedStore::deliver(const store::CollectionItems &response, const ItemsCallback &callback)
{
    const bool isCurrent = this->context.storeEra.deliver(response.era, [&] {
        auto current = response;
        current.era = this->context.storeEra.current();
        callback(current);
    });
    if (!isCurrent) {
        callback(store::unavailableItems(this->context.storeEra.current()));
    }
}

void RelayedStore::recordStoreRead(const std::string &collection, const store::CollectionItems &response)
{
    const bool isAnswered = response.kind == ErrorKind::None || response.kind == ErrorKind::HistoryGone;
    if (isAnswered) {
        this->access.storeAnswered();
    } else {
        this->access.storeFailed(core::steadyNow());
    }
    this->relay.setReadFromStore(collection, isAnswered);
}

void RelayedStore::listFromStore(const std::string &collection, const std::string &after, ItemsCallback callback)
{
    this->context.store.list(collection, after,
                             [this, collection, callback = std::move(callback),
                              token = std::weak_ptr<bool>(this->lifetimeToken)](const store::CollectionItems &response) {
                                 if (!token.expired()) {
                                     this->recordStoreRead(collection, response);
                                     callback(response);
                                 }
                             });
}

void RelayedStore::watchStore(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback)
{
    this->context.store.watch(collection, revision, wait,
                              [this, collection, callback = std::move(callback),
                               token = std::weak_ptr<bool>(this->lifetimeToken)](const store::CollectionItems &response) {
                                  if (!token.expired()) {
                                      this->recordStoreRead(collection, response);
                                      callback(response);
                                  }
                              });
}

void RelayedStore::list(const std::string &collection, const std::string &after, ItemsCallback callback)
{
    const auto node = after.empty() ? this->selectWatcher(core::steadyNow()) : std::string();
    if (node.empty()) {
        this->listFromStore(collection, after, std::move(callback));
        return;
    }
    this->queryWatcher(node, {collection, 0, {}}, callback,
                       [this, collection, callback] { this->listFromStore(collection, {}, callback); });
}

void RelayedStore::watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback)
{
    const auto node = this->selectWatcher(core::steadyNow());
    if (node.empty()) {
        this->watchStore(collection, revision, wait, std::move(callback));
        return;
    }
    // Falls back to a watch of the store from the same revision, which immediately returns the changes that the watcher has missed.
    this->queryWatcher(node, {collection, revision, watcherWait}, callback,
                       [this, collection, revision, wait, callback] { this->watchStore(collection, revision, wait, callback); });
}

void RelayedStore::get(const std::string &collection, const std::string &name, ItemCallback callback)
{
    this->context.store.get(collection, name, std::move(callback));
}

void RelayedStore::put(const std::string &collection, const std::string &name, const std::string &content, std::uint64_t revision,
                       ItemCallback callback)
{
    this->context.store.put(collection, name, content, revision, std::move(callback));
}
} // namespace figpulley::mesh
