#include "support/restorablestore.h"
#include "support/story.h"

#include "core/log.h"
#include "mesh/collectionfollower.h"
#include "mesh/storeaccess.h"
#include "store/store.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>

using namespace figpulley;
using namespace std::chrono_literals;
using Watches = tests::RestorableStore::Watches;

namespace
{
constexpr const char *collection = "records";

/// A follower of one collection of a store that can be restored, and what it has passed on.
class FollowedStore
{
public:
    FollowedStore()
    {
        core::setLogLevel(core::LogLevel::Off);
        mesh::CollectionListener listener;
        listener.onListBegun = [](std::uint64_t /*era*/) {};
        listener.onItem = [this](const store::CollectionItem &item) { this->known[item.name] = item.content; };
        listener.onListed = [this](const std::unordered_set<std::string> &names, std::uint64_t /*revision*/) {
            std::erase_if(this->known, [&](const auto &entry) { return !names.contains(entry.first); });
        };
        listener.onCaughtUp = [](std::uint64_t /*revision*/) {};
        this->follower = std::make_shared<mesh::CollectionFollower>(
            this->checked, collection, listener,
            [this](core::Duration delay, std::function<void()> callback) { this->timers.schedule(delay, std::move(callback)); },
            this->random, [] { return core::Duration(1s); }, core::Duration {});
        this->checked.era().addListener([this](std::uint64_t earlier, std::uint64_t era) {
            if (earlier != 0) {
                this->follower->followEra(era);
            }
        });
        for (int number = 0; number < 4; ++number) {
            this->write(number, "first");
        }
        this->follower->start();
        this->timers.advance(100ms);
    }

    void write(int number, const std::string &content)
    {
        this->store.write(collection, std::to_string(number), content);
    }

    [[nodiscard]] bool isUpToDate()
    {
        return this->known == this->store.contents(collection);
    }

    tests::FakeTimers timers;
    tests::RestorableStore store {timers};
    store::EraCheckedStore checked {store};
    std::map<std::string, std::string> known;

private:
    core::Random random {1};
    std::shared_ptr<mesh::CollectionFollower> follower;
};
} // namespace

// Guards against a follower that goes on reading from a revision of before a restore, and so misses the changes with smaller revisions.
Test(restore, follower_reads_the_changes_that_follow_a_restore)
{
    tests::Story story;
    for (const auto watches : {Watches::Fail, Watches::GoOn}) {
        story.section(watches == Watches::Fail ? "the watch fails" : "the watch waits on and no call fails", [&] {
            FollowedStore followed;
            followed.store.copy();
            followed.write(0, "lost");
            followed.write(4, "lost");
            followed.timers.advance(100ms);
            story.check(followed.isUpToDate(), "the changes before the restore to be known");
            followed.store.restore(watches);
            followed.write(1, "after the restore");
            followed.timers.advance(1500ms);
            story.check(followed.isUpToDate(), "the lost objects to be forgotten and the change to be known within the time of a watch");
        });
    }
    story.section("the earlier revision is given out again for another change before the next watch", [&] {
        FollowedStore followed;
        followed.store.copy();
        followed.write(0, "lost");
        followed.timers.advance(100ms);
        followed.store.restore(Watches::GoOn);
        followed.write(1, "after the restore");
        followed.write(2, "after the restore");
        followed.write(3, "after the restore");
        followed.timers.advance(1500ms);
        story.check(followed.isUpToDate(), "all changes to be known, those below the earlier revision included");
    });
    story.section("another call shows the restore first, and is refused", [&] {
        FollowedStore followed;
        followed.store.copy();
        followed.write(0, "lost");
        followed.timers.advance(100ms);
        followed.store.restore(Watches::GoOn);
        followed.store.isBusy = true;
        followed.checked.get(collection, "0", [](const store::ItemResult & /*result*/) {});
        followed.timers.advance(10ms);
        followed.store.isBusy = false;
        followed.timers.advance(300ms);
        story.check(followed.isUpToDate(), "the collection to be listed without waiting for the end of the watch");
    });
}

// Guards against a store that is listed in a loop because each list ends at a later page (issue 29).
Test(restore, list_that_cannot_be_completed_is_repeated_after_growing_delays)
{
    tests::Story story;
    // Ten seconds at half of the longest delay of 0.8 s, and the shorter ones before.
    constexpr int allowedLists = 10 * 2 + 10;
    const auto countLists = [](const std::function<void(tests::RestorableStore &)> &disturb) {
        FollowedStore followed;
        followed.store.pageSize = 2;
        followed.store.latency = 5ms;
        followed.store.copy();
        disturb(followed.store);
        followed.store.restore(Watches::Fail);
        const auto before = followed.store.lists;
        followed.timers.advance(10s);
        const auto lists = followed.store.lists - before;
        followed.store.refusesLaterPages = false;
        followed.store.risesEra = false;
        followed.timers.advance(2s);
        cr_expect(followed.isUpToDate(), "expected the collection to be known within 2 s once it can be listed");
        return lists / 2; // each list reads two pages
    };
    story.section("a later page is refused", [&] {
        story.check(countLists([](tests::RestorableStore &store) { store.refusesLaterPages = true; }) <= allowedLists,
                    "delays that grow although each first page is read");
    });
    story.section("each page states another era", [&] {
        story.check(countLists([](tests::RestorableStore &store) { store.risesEra = true; }) <= allowedLists, "the same delays");
    });
}

// Guards against contents of two eras in one list, and against late responses of an earlier era after those of the next one.
Test(restore, responses_of_two_eras_are_not_mixed)
{
    tests::Story story;
    story.section("the store is restored between two pages of a list", [&] {
        FollowedStore followed;
        followed.store.pageSize = 1;
        followed.store.latency = 50ms;
        followed.store.copy();
        followed.write(0, "lost");
        followed.store.restore(Watches::Fail);
        followed.timers.advance(75ms);
        followed.store.copy();
        followed.write(0, "lost");
        followed.write(9, "lost");
        followed.store.restore(Watches::GoOn);
        followed.timers.advance(1500ms);
        story.check(followed.isUpToDate(), "the list to begin anew");
    });
    story.section("a response of the earlier era arrives late", [&] {
        FollowedStore followed;
        followed.store.copy();
        followed.write(0, "lost");
        followed.store.latency = 200ms;
        auto readKind = core::ErrorKind::None;
        auto writtenKind = core::ErrorKind::None;
        followed.checked.get(collection, "0", [&](const store::ItemResult &result) { readKind = result.kind; });
        followed.checked.put(collection, "7", "lost", 0, [&](const store::ItemResult &result) { writtenKind = result.kind; });
        followed.store.restore(Watches::GoOn);
        followed.store.latency = 10ms;
        followed.checked.get(collection, "1", [](const store::ItemResult & /*result*/) {});
        followed.timers.advance(300ms);
        story.check(readKind == core::ErrorKind::PlatformUnavailable, "a late read to fail");
        story.check(writtenKind == core::ErrorKind::PlatformOutcomeUnknown, "a late acknowledgement of a write to count as unknown");
        followed.timers.advance(1500ms);
        story.check(followed.isUpToDate(), "the follower to know what the restored store has");
    });
    story.section("responses that state no era", [&] {
        store::EraTracker tracker;
        int restores = 0;
        tracker.addListener([&](std::uint64_t earlier, std::uint64_t /*era*/) { restores += earlier != 0 ? 1 : 0; });
        story.check(tracker.deliver(4, [] {}) && tracker.deliver(0, [] {}) && tracker.deliver(4, [] {}), "all to be delivered");
        story.equal(tracker.current(), 4U, "the era to be the stated one");
        story.equal(restores, 0, "no restore to be reported");
        story.check(!tracker.deliver(3, [] {}), "a response of an earlier era not to be delivered");
        story.check(tracker.deliver(5, [] {}), "a response of the next era to be delivered");
        story.equal(restores, 1, "one restore to be reported");
    });
}

// Guards against a change log that ignores the changes after a restore, since their revisions are smaller than those that it knows.
Test(restore, the_change_log_forgets_the_earlier_era)
{
    tests::Story story;
    store::ChangeLog log;
    log.beginList(1);
    log.put({"a", 8, "lost", false});
    log.put({"b", 9, "lost", false});
    log.reset({"a", "b"}, 9);
    log.beginList(2);
    story.equal(log.revision(), 0U, "no revision to be known before the list is complete");
    story.check(!log.changesAfter(9).has_value(), "no changes to be known before the list is complete");
    log.put({"a", 5, "restored", false});
    log.reset({"a"}, 5);
    story.equal(log.list().items.size(), 1U, "only the restored object");
    story.equal(log.list().items.front().content, std::string("restored"), "its content to be the restored one");
    log.put({"a", 6, "changed", false});
    log.advance(6);
    story.check(log.changesAfter(5).has_value() && log.changesAfter(5)->items.size() == 1U, "a change after the restore to be logged");
}

// Guards against all nodes listing the store at the moment at which it returns, since their watchers have refused them while it was away.
Test(restore, nodes_ask_their_watchers_first_when_the_store_was_away)
{
    tests::Story story;
    const std::vector<std::string> watchers {"w1", "w2"};
    const auto start = core::TimePoint {} + 1h;
    mesh::StoreAccess access;
    story.equal(access.selectWatcher(watchers, start), std::string("w1"), "the first watcher to be asked");
    story.section("the watcher cannot reach the store, this node can", [&] {
        access.watcherRefused("w1", start);
        story.check(access.mayReadStore(start), "the store to be read");
        access.storeAnswered();
        story.equal(access.selectWatcher(watchers, start + 1s), std::string("w2"), "another watcher to be asked next");
        story.equal(access.selectWatcher(watchers, start + 4s), std::string("w1"), "the first one to be asked again later");
    });
    const auto outage = start + 10s;
    story.section("nobody can reach the store", [&] {
        access.watcherRefused("w1", outage);
        access.watcherRefused("w2", outage);
        story.equal(access.selectWatcher(watchers, outage), std::string(), "no watcher to be left");
        access.storeFailed(outage + 5ms);
        story.equal(access.selectWatcher(watchers, outage + 200ms), std::string("w1"), "the watcher to be asked first again");
        access.watcherRefused("w1", outage + 200ms);
        story.check(!access.mayReadStore(outage + 200ms), "the store not to be read so soon after it has failed");
        story.equal(access.selectWatcher(watchers, outage + 500ms), std::string("w1"), "the watcher to be asked at the next attempt");
        access.watcherRefused("w1", outage + 800ms);
        story.check(access.mayReadStore(outage + 800ms), "the store to be read some time later");
    });
    story.section("a watcher cannot be reached while the store is away", [&] {
        access.storeFailed(outage + 2s);
        access.watcherLost("w1", outage + 2s);
        access.storeFailed(outage + 3s);
        story.equal(access.selectWatcher(watchers, outage + 3s), std::string("w2"), "it to be avoided all the same");
    });
}
