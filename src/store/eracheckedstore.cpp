#include "store/eracheckedstore.h"

#include "core/log.h"

#include <utility>

#include <fmt/format.h>

namespace figpulley::store
{
namespace
{
void logOutdated(const std::string &call, std::uint64_t era, std::uint64_t current)
{
    core::log(core::LogLevel::Info, "store.response_outdated",
              {{"call", call}, {"era", fmt::to_string(era)}, {"current_era", fmt::to_string(current)}});
}

// Passes on a response of the current era. One that states no era is completed; any other is not copied, as it may be large.
template<class Response, class Callback>
void passOn(const Response &response, std::uint64_t era, const Callback &callback)
{
    if (response.era == era) {
        callback(response);
        return;
    }
    auto completed = response;
    completed.era = era;
    callback(completed);
}
} // namespace

EraCheckedStore::EraCheckedStore(CollectionStore &store)
    : store(store)
{
}

EraTracker &EraCheckedStore::era() noexcept
{
    return this->tracker;
}

CollectionStore::ItemsCallback EraCheckedStore::checked(const std::string &call, ItemsCallback callback)
{
    return [this, call, callback = std::move(callback), token = std::weak_ptr<bool>(this->lifetimeToken)](const CollectionItems &response) {
        if (token.expired()) {
            return;
        }
        if (!this->tracker.deliver(response.era, [&] { passOn(response, this->tracker.current(), callback); })) {
            logOutdated(call, response.era, this->tracker.current());
            callback(unavailableItems(this->tracker.current()));
        }
    };
}

CollectionStore::ItemCallback EraCheckedStore::checked(const std::string &call, core::ErrorKind outdated, ItemCallback callback)
{
    return [this, call, outdated, callback = std::move(callback),
            token = std::weak_ptr<bool>(this->lifetimeToken)](const ItemResult &response) {
        if (token.expired()) {
            return;
        }
        if (!this->tracker.deliver(response.era, [&] { passOn(response, this->tracker.current(), callback); })) {
            logOutdated(call, response.era, this->tracker.current());
            callback({outdated, {}, this->tracker.current()});
        }
    };
}

void EraCheckedStore::list(const std::string &collection, const std::string &after, ItemsCallback callback)
{
    this->store.list(collection, after, this->checked("list " + collection, std::move(callback)));
}

void EraCheckedStore::watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback)
{
    this->store.watch(collection, revision, wait, this->checked("watch " + collection, std::move(callback)));
}

void EraCheckedStore::get(const std::string &collection, const std::string &name, ItemCallback callback)
{
    this->store.get(collection, name, this->checked("get " + name, core::ErrorKind::PlatformUnavailable, std::move(callback)));
}

// A write that was acknowledged in an earlier era may be lost, or may be part of the backup.
void EraCheckedStore::put(const std::string &collection, const std::string &name, const std::string &content, std::uint64_t revision,
                          ItemCallback callback)
{
    this->store.put(collection, name, content, revision,
                    this->checked("put " + name, core::ErrorKind::PlatformOutcomeUnknown, std::move(callback)));
}
} // namespace figpulley::store
