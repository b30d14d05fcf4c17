#pragma once

#include "store/collectionstore.h"
#include "store/eratracker.h"

#include <memory>
#include <string>

namespace figpulley::store
{
/// Store whose responses all belong to its current era: tracks the era that responses state, failed calls included, and turns late
/// responses of earlier eras into failures.
class EraCheckedStore : public CollectionStore
{
public:
    /// @param store store that is called; outlives this object
    explicit EraCheckedStore(CollectionStore &store);

    void list(const std::string &collection, const std::string &after, ItemsCallback callback) override;
    void watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback) override;
    void get(const std::string &collection, const std::string &name, ItemCallback callback) override;
    void put(const std::string &collection, const std::string &name, const std::string &content, std::uint64_t revision,
             ItemCallback callback) override;

    [[nodiscard]] EraTracker &era() noexcept;

private:
    [[nodiscard]] ItemsCallback checked(const std::string &call, ItemsCallback callback);
    [[nodiscard]] ItemCallback checked(const std::string &call, core::ErrorKind outdated, ItemCallback callback);

    CollectionStore &store;
    EraTracker tracker;
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true); // expires with this object; a call may end later
};
} // namespace figpulley::store
