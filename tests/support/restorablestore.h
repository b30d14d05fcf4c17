#pragma once

#include "store/collectionstore.h"
#include "support/fakestore.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace figpulley::tests
{
/// In-memory collection store in virtual time that can be restored from a copy of itself. Each restore begins a new era, in which
/// revisions continue from the copy's revision.
class RestorableStore : public store::CollectionStore
{
public:
    /// What happens to the watches that wait while the store is restored.
    enum class Watches : std::uint8_t {
        Fail,
        GoOn, ///< they wait on, for a change after their revision by the new count
    };

    explicit RestorableStore(FakeTimers &timers)
        : timers(timers)
    {
    }

    /// Writes an object unconditionally.
    void write(const std::string &collection, const std::string &name, const std::string &content)
    {
        this->state.objects[collection][name] = {name, ++this->state.revision, content, false};
        this->state.changes.push_back({collection, this->state.objects[collection][name]});
        this->answerWatches();
    }

    void copy()
    {
        this->backup = this->state;
    }

    void restore(Watches watchesThen)
    {
        this->state = this->backup;
        ++this->era;
        if (watchesThen == Watches::Fail) {
            for (const auto &watch : std::exchange(this->watches, {})) {
                store::CollectionItems failure;
                failure.kind = core::ErrorKind::PlatformUnavailable;
                watch.callback(failure);
            }
        }
    }

    void list(const std::string &collection, const std::string &after, ItemsCallback callback) override
    {
        ++this->lists;
        this->era += this->risesEra ? 1 : 0;
        store::CollectionItems page = this->response();
        if (this->isBusy || (this->refusesLaterPages && !after.empty())) {
            page.kind = core::ErrorKind::PlatformUnavailable;
        } else {
            const auto &objects = this->state.objects[collection];
            for (auto at = objects.upper_bound(after); at != objects.end(); ++at) {
                page.hasMore = page.items.size() == this->pageSize;
                if (page.hasMore) {
                    break;
                }
                page.items.push_back(at->second);
                page.lastName = at->first;
            }
        }
        this->respond([callback = std::move(callback), page] { callback(page); });
    }

    void watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback) override
    {
        if (this->isBusy || revision > this->state.revision) {
            auto failure = this->response();
            failure.kind = this->isBusy ? core::ErrorKind::PlatformUnavailable : core::ErrorKind::HistoryGone;
            this->respond([callback = std::move(callback), failure] { callback(failure); });
            return;
        }
        const auto number = ++this->watchNumber;
        this->watches.push_back({number, collection, revision, std::move(callback)});
        this->timers.schedule(wait, [this, number] { this->endWatch(number); });
        this->answerWatches();
    }

    void get(const std::string &collection, const std::string &name, ItemCallback callback) override
    {
        store::ItemResult result;
        result.era = this->era;
        const auto found = this->state.objects[collection].find(name);
        if (this->isBusy || found == this->state.objects[collection].end()) {
            result.kind = this->isBusy ? core::ErrorKind::PlatformUnavailable : core::ErrorKind::NotFound;
        } else {
            result.item = found->second;
        }
        this->respond([callback = std::move(callback), result] { callback(result); });
    }

    void put(const std::string &collection, const std::string &name, const std::string &content, std::uint64_t revision,
             ItemCallback callback) override
    {
        store::ItemResult result;
        result.era = this->era;
        const auto found = this->state.objects[collection].find(name);
        const auto present = found == this->state.objects[collection].end() ? 0 : found->second.revision;
        if (this->isBusy) {
            result.kind = core::ErrorKind::PlatformUnavailable;
        } else if (present != revision) {
            result.kind = core::ErrorKind::Conflict;
        } else {
            this->write(collection, name, content);
            result.item = this->state.objects[collection][name];
        }
        this->respond([callback = std::move(callback), result] { callback(result); });
    }

    /// @returns the contents of a collection by name
    [[nodiscard]] std::map<std::string, std::string> contents(const std::string &collection)
    {
        std::map<std::string, std::string> result;
        for (const auto &[name, item] : this->state.objects[collection]) {
            result[name] = item.content;
        }
        return result;
    }

    std::size_t pageSize = 500;
    int lists = 0;
    bool isBusy = false; ///< refuses all calls; the refusals state the era
    bool refusesLaterPages = false; ///< refuses all pages of a list but the first
    bool risesEra = false; ///< states a new era with each page, as a faulty store may do
    core::Duration latency {}; ///< time until a response arrives; the call takes effect at once

private:
    struct State
    {
        std::map<std::string, std::map<std::string, store::CollectionItem>> objects;
        std::vector<std::pair<std::string, store::CollectionItem>> changes;
        std::uint64_t revision = 1;
    };

    struct Watch
    {
        int number = 0;
        std::string collection;
        std::uint64_t revision = 0;
        ItemsCallback callback;
    };

    [[nodiscard]] store::CollectionItems response() const
    {
        store::CollectionItems items;
        items.era = this->era;
        items.revision = this->state.revision;
        return items;
    }

    void respond(std::function<void()> callback)
    {
        this->timers.schedule(this->latency, std::move(callback));
    }

    [[nodiscard]] store::CollectionItems changesFor(const Watch &watch) const
    {
        auto items = this->response();
        for (const auto &[collection, item] : this->state.changes) {
            if (collection == watch.collection && item.revision > watch.revision) {
                items.items.push_back(item);
            }
        }
        return items;
    }

    void answerWatches()
    {
        std::erase_if(this->watches, [this](const Watch &watch) {
            const auto items = this->changesFor(watch);
            if (!items.items.empty()) {
                this->respond([callback = watch.callback, items] { callback(items); });
            }
            return !items.items.empty();
        });
    }

    void endWatch(int number)
    {
        std::erase_if(this->watches, [&](const Watch &watch) {
            if (watch.number == number) {
                this->respond([callback = watch.callback, items = this->response()] { callback(items); });
            }
            return watch.number == number;
        });
    }

    FakeTimers &timers;
    State state;
    State backup;
    std::vector<Watch> watches;
    std::uint64_t era = 1;
    int watchNumber = 0;
};
} // namespace figpulley::tests
