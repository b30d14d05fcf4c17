#include "support/fakestore.h"
#include "support/story.h"

#include "sync/sync.h"

using namespace figpulley;
using core::ErrorKind;

namespace
{
sync::ApplyRequest request(const std::string &text, const std::string &id)
{
    sync::ApplyRequest request;
    request.files = {{"policy.json", text}, {"rules.json", "same"}};
    request.appliedBy = "operator-" + id;
    request.applyId = id;
    return request;
}

sync::ApplyResult apply(tests::FakeStore &store, const sync::ApplyRequest &wanted)
{
    sync::ApplyResult result;
    sync::ApplyProcess::start(store, wanted, [&result](const sync::ApplyResult &outcome) { result = outcome; });
    return result;
}

std::uint64_t rootRevision(tests::FakeStore &store)
{
    const auto manifest = sync::decodeManifest(store.table.get(std::string(sync::rootKey)).object.value);
    return manifest ? manifest->revision : 0;
}

sync::Snapshot snapshotOf(std::uint64_t revision, const std::vector<config::SourceFile> &files)
{
    sync::Snapshot snapshot;
    snapshot.manifest.revision = revision;
    for (const auto &file : files) {
        snapshot.manifest.parts.push_back({file.name, sync::contentHash(file.text), file.text.size()});
        snapshot.texts[sync::contentHash(file.text)] = file.text;
    }
    return snapshot;
}
} // namespace

Test(sync, apply)
{
    tests::Story story;
    tests::FakeStore store;
    story.section("a first apply", [&] {
        const auto result = apply(store, request("one", "a"));
        story.equal(result.kind, ErrorKind::None, "it is accepted");
        story.equal(rootRevision(store), 1U, "as revision 1");
    });
    story.section("the same again", [&] { story.check(apply(store, request("one", "b")).isUnchanged, "changes nothing"); });
    story.section("a dry run", [&] {
        auto dry = request("two", "c");
        dry.isDryRun = true;
        story.equal(apply(store, dry).difference.toString(), std::string("~policy.json"), "shows the difference");
        story.equal(rootRevision(store), 1U, "and changes nothing");
    });
    story.section("the answer of the last write is lost", [&] {
        store.rootResponsesToLose = 1;
        const auto result = apply(store, request("two", "d"));
        story.equal(result.kind, ErrorKind::None, "it is accepted");
        story.check(result.wasConfirmedByReading, "after reading back");
        story.equal(rootRevision(store), 2U, "as revision 2");
    });
    story.section("another operator is faster", [&] {
        store.beforeRootWrite = [&] {
            store.beforeRootWrite = nullptr;
            story.equal(apply(store, request("theirs", "e")).kind, ErrorKind::None, "theirs is accepted");
        };
        const auto result = apply(store, request("ours", "f"));
        story.equal(result.kind, ErrorKind::Conflict, "ours is refused");
        story.check(result.message.find("operator-e") != std::string::npos && result.message.find("~policy.json") != std::string::npos,
                    "naming who and what");
        story.equal(rootRevision(store), 3U, "theirs is in force");
    });
    story.section("another is faster and our answer is lost as well", [&] {
        store.beforeRootWrite = [&] {
            store.beforeRootWrite = nullptr;
            static_cast<void>(apply(store, request("theirs again", "g")));
            store.rootResponsesToLose = 1;
        };
        story.equal(apply(store, request("ours again", "h")).kind, ErrorKind::Conflict, "it is still told apart");
    });
    story.section("the platform goes down in the middle", [&] {
        store.writesBeforeFailure = 1;
        const auto before = rootRevision(store);
        story.equal(apply(store, request("five", "i")).kind, ErrorKind::PlatformUnavailable, "it is refused");
        store.writesBeforeFailure = -1;
        story.equal(rootRevision(store), before, "and nothing has changed");
    });
    story.section("a file of more than a megabyte", [&] {
        story.equal(apply(store, request(std::string((1U << 20U) + 1, 'x'), "j")).kind, ErrorKind::BodyTooLarge,
                    "is refused with a reason");
    });
    story.section("the audit trail", [&] {
        const auto history = store.table.list("figpulley/history/");
        story.equal(history.names.size(), rootRevision(store) - 1, "has every earlier revision");
    });
    story.section("after the platform was restored from a backup", [&] {
        auto above = request("after", "k");
        above.revisionFloor = 40;
        story.equal(apply(store, above).revision, 41U, "an operator exceeds what the nodes have");
    });
}

Test(sync, all_or_nothing)
{
    tests::holds("whatever fails, either the whole set is in force or the set before", [] {
        tests::FakeStore store;
        static_cast<void>(apply(store, request("base", "base")));
        store.failRandomly(*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::inRange(0, 60));
        const auto result = apply(store, request("next", "next"));
        store.failRandomly(0, 0);
        const auto root = sync::decodeManifest(store.table.get(std::string(sync::rootKey)).object.value);
        RC_ASSERT(root.has_value());
        for (const auto &part : root->parts) {
            const auto object = store.table.get(sync::partKey(part.hash));
            RC_ASSERT(sync::contentHash(object.object.value) == part.hash);
        }
        const bool isInForce = root->applyId == "next";
        RC_ASSERT(isInForce || root->applyId == "base");
        RC_ASSERT(result.kind != ErrorKind::None || isInForce);
        RC_ASSERT(result.kind == ErrorKind::None || result.kind == ErrorKind::PlatformOutcomeUnknown || !isInForce);
    });
}

Test(sync, deltas)
{
    tests::Story story;
    sync::SnapshotStore server;
    sync::SnapshotStore client;
    server.offer(snapshotOf(1, {{"a", std::string(5000, 'a')}, {"b", "1"}}));
    story.section("a new node", [&] {
        const auto snapshot = client.applyDelta(server.encodeDelta(0));
        story.check(snapshot && client.offer(*snapshot), "gets everything");
    });
    story.section("a change of one file", [&] {
        server.offer(snapshotOf(2, {{"a", std::string(5000, 'a')}, {"b", "2"}}));
        const auto delta = server.encodeDelta(1);
        story.check(delta.size() < 1000, "costs only that file");
        const auto snapshot = client.applyDelta(delta);
        story.check(snapshot && client.offer(*snapshot), "is taken");
        story.equal(client.current().files().at(1).text, std::string("2"), "and read");
    });
    story.section("an older revision", [&] {
        story.check(!client.offer(snapshotOf(1, {{"a", "x"}})), "is never taken");
        story.check(!client.applyDelta(server.encodeDelta(1)).has_value() || client.current().manifest.revision == 2,
                    "nor a delta that leads nowhere");
    });
    story.section("a delta against a revision that the node does not have", [&] {
        sync::SnapshotStore other;
        other.offer(snapshotOf(1, {{"c", "c"}}));
        server.offer(snapshotOf(3, {{"b", "3"}}));
        story.check(!other.applyDelta(server.encodeDelta(2)).has_value(), "is refused");
    });
}

Test(sync, relay)
{
    tests::Story story;
    tests::FakeStore store;
    tests::FakeTimers timers;
    sync::SnapshotStore snapshots;
    const auto schedule = [&](core::Duration delay, std::function<void()> callback) { timers.schedule(delay, std::move(callback)); };
    const auto relay = std::make_shared<sync::ConfigRelay>(
        store, schedule, snapshots, [&](sync::Snapshot snapshot) { snapshots.offer(std::move(snapshot)); }, 1);
    story.section("a revision in the platform", [&] {
        static_cast<void>(apply(store, request("one", "a")));
        relay->setActive(true);
        timers.advance(std::chrono::seconds(1));
        story.equal(snapshots.current().manifest.revision, 1U, "is fetched");
    });
    story.section("the platform is down for an hour", [&] {
        store.isDown = true;
        store.calls = 0;
        store.completeWatches();
        timers.advance(std::chrono::hours(1));
        story.check(store.calls < 3600, "it is asked less than once a second");
        story.check(!relay->isPlatformReachable(), "the outage is known");
        store.isDown = false;
        static_cast<void>(apply(store, request("two", "b")));
        timers.advance(std::chrono::seconds(13));
        story.equal(snapshots.current().manifest.revision, 2U, "a change after it is in force within 13 s");
    });
    story.section("the platform is restored to an older root", [&] {
        const auto old = sync::historyKey(1);
        auto object = store.table.get(old).object;
        object.version = 77;
        store.table.restore(std::string(sync::rootKey), object);
        store.completeWatches();
        timers.advance(std::chrono::seconds(60));
        story.equal(snapshots.current().manifest.revision, 2U, "the node keeps the newer one");
        story.equal(relay->olderRootRevision(), 1U, "and reports the older root");
    });
}
