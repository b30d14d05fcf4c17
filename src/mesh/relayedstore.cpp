#include "mesh/relayedstore.h"

#include "core/log.h"
#include "discovery/watchers.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"

#include <chrono>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;

constexpr core::Duration peerWait = 1s; // a watcher that has died is noticed within half of the time in which a change has to be in force
constexpr core::Duration peerMargin = 250ms; // beyond the wait: two ways between nodes of a zone and a busy watcher
constexpr core::Duration peerConnectTimeout = 200ms;
constexpr core::Duration avoidance = 3s; // of a watcher that did not answer; by then the directory tells whether it is gone
constexpr std::size_t largestAnswer = 16UL << 20U;
constexpr int httpOk = 200;
} // namespace

RelayedStore::RelayedStore(MeshContext context, ChangeRelay &relay)
    : context(context)
    , relay(relay)
{
}

// Empty if this node has to turn to the store itself.
std::string RelayedStore::watcherToAsk(core::TimePoint now) const
{
    const auto own = this->context.settings.ingress.toString();
    const auto watchers = discovery::selectWatchers(this->context.board.directory.read(), this->context.settings.availabilityZone, own);
    if (std::find(watchers.begin(), watchers.end(), own) != watchers.end()) {
        return {};
    }
    for (const auto &node : watchers) {
        const auto avoided = this->avoidedUntil.find(node);
        if (avoided == this->avoidedUntil.end() || now >= avoided->second) {
            return node;
        }
    }
    return {};
}

void RelayedStore::ask(const std::string &node, const ChangeQuery &query, ItemsCallback callback, std::function<void()> otherwise)
{
    this->relay.setDirect(query.collection, false);
    net::ClientRequest request;
    request.url = fmt::format("http://{}/", node);
    request.headers.push_back({ChangeRelay::header, encode(query)});
    request.timeout = query.wait + peerMargin;
    request.connectTimeout = peerConnectTimeout;
    this->context.client.fetch(request, largestAnswer,
                               [this, node, collection = query.collection, callback = std::move(callback), otherwise = std::move(otherwise),
                                watched = std::weak_ptr<bool>(this->alive)](const net::ClientAnswer &answer) {
                                   if (watched.expired()) {
                                       return;
                                   }
                                   const bool isAnswered = answer.result.kind == ErrorKind::None && answer.head.status == httpOk;
                                   const auto items = isAnswered ? decodeItems(answer.body) : store::CollectionItems {};
                                   if (isAnswered && items.kind != ErrorKind::PlatformUnavailable) {
                                       callback(items);
                                       return;
                                   }
                                   core::log(core::LogLevel::Info, "watcher.avoided",
                                             {{"node", node},
                                              {"collection", collection},
                                              {"kind", std::string(core::errorProperties(answer.result.kind).name)},
                                              {"status", fmt::to_string(answer.head.status)}});
                                   this->avoidedUntil[node] = core::steadyNow() + avoidance;
                                   otherwise();
                               });
}

void RelayedStore::noteDirect(const std::string &collection, const store::CollectionItems &answer)
{
    this->relay.setDirect(collection, answer.kind == ErrorKind::None);
}

void RelayedStore::listDirectly(const std::string &collection, const std::string &after, ItemsCallback callback)
{
    this->context.store.list(collection, after,
                             [this, collection, callback = std::move(callback),
                              watched = std::weak_ptr<bool>(this->alive)](const store::CollectionItems &answer) {
                                 if (!watched.expired()) {
                                     this->noteDirect(collection, answer);
                                     callback(answer);
                                 }
                             });
}

void RelayedStore::watchDirectly(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback)
{
    this->context.store.watch(collection, revision, wait,
                              [this, collection, callback = std::move(callback),
                               watched = std::weak_ptr<bool>(this->alive)](const store::CollectionItems &answer) {
                                  if (!watched.expired()) {
                                      this->noteDirect(collection, answer);
                                      callback(answer);
                                  }
                              });
}

void RelayedStore::list(const std::string &collection, const std::string &after, ItemsCallback callback)
{
    const auto node = after.empty() ? this->watcherToAsk(core::steadyNow()) : std::string();
    if (node.empty()) {
        this->listDirectly(collection, after, std::move(callback));
        return;
    }
    this->ask(node, {collection, 0, {}}, callback, [this, collection, callback] { this->listDirectly(collection, {}, callback); });
}

void RelayedStore::watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback)
{
    const auto node = this->watcherToAsk(core::steadyNow());
    if (node.empty()) {
        this->watchDirectly(collection, revision, wait, std::move(callback));
        return;
    }
    // What the watcher has missed is told at once by a watch from the same revision.
    this->ask(node, {collection, revision, peerWait}, callback,
              [this, collection, revision, wait, callback] { this->watchDirectly(collection, revision, wait, callback); });
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
