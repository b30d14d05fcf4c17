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
/// Follows collections through a node of the zone that watches the store. If that node does not answer in time or learns of no changes
/// itself, another one is queried. The store is read if this node is one of the watchers, or when no other node can be queried; but not
/// shortly after the store has failed for this node as well.
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
    [[nodiscard]] std::string selectSource(core::TimePoint now) const;
    void query(const std::string &node, const ChangeQuery &query, ItemsCallback callback, std::function<void()> fallback);
    void handleFailure(const std::string &node, const ChangeQuery &query, bool isRefusal, const ItemsCallback &callback,
                       const std::function<void()> &fallback);
    void deliver(const std::string &collection, store::CollectionItems response, const ItemsCallback &callback);
    void countRead(const std::string &collection, const char *call, const char *cause);
    void listFromStore(const std::string &collection, const std::string &after, ItemsCallback callback);
    void watchStore(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback);
    void recordStoreRead(const std::string &collection, const store::CollectionItems &response);

    MeshContext context;
    ChangeRelay &relay;
    StoreAccess access;
    std::map<std::string, std::string> listSources; // node that has sent the latest page of a list, by collection; none if the store has
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true); // expires with this object; a response may arrive later
};
} // namespace figpulley::mesh
