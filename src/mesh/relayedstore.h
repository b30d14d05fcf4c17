#pragma once

#include "mesh/changerelay.h"
#include "mesh/meshcontext.h"
#include "mesh/storeaccess.h"
#include "store/collectionstore.h"

#include <map>
#include <memory>
#include <string>

namespace figpulley::mesh
{
/// Follows collections through a watcher, a node of the zone that watches the store. It queries the store itself if this node is one of
/// the watchers, and when the queried watcher does not answer in time, cannot reach the store or does not watch it; but not shortly after
/// the store has failed for this node as well.
class RelayedStore : public store::CollectionStore
{
public:
    RelayedStore(MeshContext context, ChangeRelay &relay);

    void list(const std::string &collection, const std::string &after, ItemsCallback callback) override;
    void watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback) override;
    void get(const std::string &collection, const std::string &name, ItemCallback callback) override;
    void put(const std::string &collection, const std::string &name, const std::string &content, std::uint64_t revision,
             ItemCallback callback) override;

private:
    [[nodiscard]] std::string selectWatcher(core::TimePoint now) const;
    void queryWatcher(const std::string &node, const ChangeQuery &query, ItemsCallback callback, std::function<void()> fallback);
    void handleWatcherFailure(const std::string &node, bool isRefusal, const ItemsCallback &callback,
                              const std::function<void()> &fallback);
    void deliver(const store::CollectionItems &response, const ItemsCallback &callback);
    void listFromStore(const std::string &collection, const std::string &after, ItemsCallback callback);
    void watchStore(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback);
    void recordStoreRead(const std::string &collection, const store::CollectionItems &response);

    MeshContext context;
    ChangeRelay &relay;
    StoreAccess access;
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true); // expires with this object; a response may arrive later
};
} // namespace figpulley::mesh
