#pragma once

#include "mesh/changerelay.h"
#include "mesh/meshcontext.h"
#include "store/collectionstore.h"

#include <map>
#include <memory>
#include <string>

namespace figpulley::mesh
{
/// Follows collections through a node of the zone that watches the store; turns to the store itself where this node is one of the
/// watchers, and whenever the one that is asked does not answer in time, cannot reach the store or does not watch.
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
    [[nodiscard]] std::string watcherToAsk(core::TimePoint now) const;
    void ask(const std::string &node, const ChangeQuery &query, ItemsCallback callback, std::function<void()> otherwise);
    void listDirectly(const std::string &collection, const std::string &after, ItemsCallback callback);
    void watchDirectly(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback);
    void noteDirect(const std::string &collection, const store::CollectionItems &answer);

    MeshContext context;
    ChangeRelay &relay;
    std::map<std::string, core::TimePoint> avoidedUntil; // watchers that did not answer
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); // an answer may come after this object
};
} // namespace figpulley::mesh
