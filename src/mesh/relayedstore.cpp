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
// Wait of the query to a further node, since the time in which the first one was noticed as failed has passed already.
constexpr core::Duration substituteWait = 200ms;
// Causes of a read of the store.
constexpr const char *noSource = "no other node to query";
constexpr const char *sourceFailed = "queried nodes failed";
// A page of a node has names and contents of 1 MB, and JSON escapes one byte with at most six.
constexpr std::size_t maxResponseBytes = 8 * ChangeRelay::maxPageBytes;
// Added for the body of the response: all nodes of a zone may receive a large configuration from one node at the same time.
constexpr core::Duration maxBodyTime = 2s;
constexpr int httpOk = 200;
} // namespace

RelayedStore::RelayedStore(MeshContext context, ChangeRelay &relay)
    : context(context)
    , relay(relay)
{
}

// Returns the node to query, or an empty text if this node has to read the store.
std::string RelayedStore::selectSource(core::TimePoint now) const
{
    const auto &board = this->context.board;
    const bool isAnnounced = board.local.read().record().has_value();
    const auto own = this->context.settings.ingress.toString();
    return this->access.selectWatcher(
        discovery::selectSources(board.directory.read(), this->context.settings.availabilityZone, own, isAnnounced), now);
}

void RelayedStore::query(const std::string &node, const ChangeQuery &query, ItemsCallback callback, std::function<void()> fallback)
{
    net::ClientRequest request;
    request.url = fmt::format("http://{}/", node);
    request.headers.push_back({ChangeRelay::header, encode(query)});
    request.headers.push_back({ChangeRelay::eraHeader, fmt::to_string(this->context.storeEra.current())});
    if (query.after) {
        request.headers.push_back({ChangeRelay::pageHeader, encodePageStart(*query.after)});
    }
    request.headTimeout = query.wait + watcherMargin;
    request.timeout = request.headTimeout + maxBodyTime;
    request.connectTimeout = watcherConnectTimeout;
    this->context.client.fetch(request, maxResponseBytes,
                               [this, node, query, callback = std::move(callback), fallback = std::move(fallback),
                                token = std::weak_ptr<bool>(this->lifetimeToken)](const net::ClientResponse &response) {
                                   if (token.expired()) {
                                       return;
                                   }
                                   const bool isAnswered = response.result.kind == ErrorKind::None && response.head.status == httpOk;
                                   auto items = isAnswered ? decodeItems(response.body) : store::CollectionItems {};
                                   if (isAnswered && items.kind != ErrorKind::PlatformUnavailable) {
                                       if (query.after) {
                                           this->listSources[query.collection] = node;
                                       }
                                       this->deliver(query.collection, std::move(items), callback);
                                       return;
                                   }
                                   core::log(core::LogLevel::Info, "watcher.avoided",
                                             {{"node", node},
                                              {"collection", query.collection},
                                              {"kind", std::string(core::errorProperties(response.result.kind).name)},
                                              {"status", fmt::to_string(response.head.status)}});
                                   this->handleFailure(node, query, response.result.kind == ErrorKind::None, callback, fallback);
                               });
}

void RelayedStore::handleFailure(const std::string &node, const ChangeQuery &query, bool isRefusal, const ItemsCallback &callback,
                                 const std::function<void()> &fallback)
{
    const auto now = core::steadyNow();
    if (isRefusal) {
        this->access.watcherRefused(node, now);
    } else {
        this->access.watcherLost(node, now);
    }
    // A node that fails for several nodes is avoided by all of them, so they meet at the same other node instead of the store.
    if (const auto next = this->selectSource(now); !next.empty() && next != node) {
        auto shorter = query;
        shorter.wait = std::min(query.wait, substituteWait);
        this->query(next, shorter, callback, fallback);
        return;
    }
    if (this->access.mayReadStore(now)) {
        fallback();
        return;
    }
    this->relay.setUpToDate(query.collection, false);
    callback(store::unavailableItems(this->context.storeEra.current()));
}

// A watcher that answers with an earlier era has learned of the current one from the query, so the caller can query it again soon.
void RelayedStore::deliver(const std::string &collection, store::CollectionItems response, const ItemsCallback &callback)
{
    const bool isCurrent = this->context.storeEra.deliver(response.era, [&] {
        this->relay.setUpToDate(collection, true);
        response.era = this->context.storeEra.current();
        response.hasAllChanges = true;
        callback(response);
    });
    if (!isCurrent) {
        callback(store::unavailableItems(this->context.storeEra.current()));
    }
}

// Counts a read of the store and its cause, as the reads of a fleet must not grow with its nodes.
void RelayedStore::countRead(const std::string &collection, const char *call, const char *cause)
{
    this->context.metrics.countStoreRead(collection, call, cause);
    core::log(core::LogLevel::Info, "store.read", {{"collection", collection}, {"call", call}, {"cause", cause}});
}

void RelayedStore::recordStoreRead(const std::string &collection, const store::CollectionItems &response)
{
    const bool isAnswered = response.kind == ErrorKind::None || response.kind == ErrorKind::HistoryGone;
    if (isAnswered) {
        this->access.storeAnswered();
    } else {
        this->access.storeFailed(core::steadyNow());
    }
    this->relay.setUpToDate(collection, isAnswered);
}

void RelayedStore::listFromStore(const std::string &collection, const std::string &after, ItemsCallback callback)
{
    this->listSources[collection].clear();
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
    // The next page comes from where the previous one came from: another node may know less.
    const auto node = after.empty() ? this->selectSource(core::steadyNow()) : this->listSources[collection];
    if (node.empty()) {
        this->countRead(collection, "list", after.empty() ? noSource : "next page");
        this->listFromStore(collection, after, std::move(callback));
        return;
    }
    ChangeQuery query {collection, 0, {}};
    query.after = after;
    this->query(node, query, callback, [this, collection, after, callback] {
        this->countRead(collection, "list", sourceFailed);
        this->listFromStore(collection, after, callback);
    });
}

void RelayedStore::watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback)
{
    const auto node = this->selectSource(core::steadyNow());
    if (node.empty()) {
        this->countRead(collection, "watch", noSource);
        this->watchStore(collection, revision, wait, std::move(callback));
        return;
    }
    // Falls back to a watch of the store from the same revision, which immediately returns the changes that the watcher has missed.
    this->query(node, ChangeQuery {collection, revision, watcherWait}, callback, [this, collection, revision, wait, callback] {
        this->countRead(collection, "watch", sourceFailed);
        this->watchStore(collection, revision, wait, callback);
    });
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
