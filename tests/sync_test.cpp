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

Test(sync, apply_replaces_the_configuration)
{
    tests::Story story;
    tests::FakeStore store;
    story.section("the first apply", [&] {
        const auto result = apply(store, request("one", "a"));
        story.equal(result.kind, ErrorKind::None, "success");
        story.equal(rootRevision(store), 1U, "revision 1 in the platform");
    });
    story.section("an apply of the same files", [&] { story.check(apply(store, request("one", "b")).isUnchanged, "no change"); });
    story.section("a dry run", [&] {
        auto dry = request("two", "c");
        dry.isDryRun = true;
        story.equal(apply(store, dry).difference.toString(), std::string("~policy.json"), "the difference in the result");
        story.equal(rootRevision(store), 1U, "revision 1 to stay in the platform");
    });
    story.section("the response to the write of the root is lost", [&] {
        store.rootResponsesToLose = 1;
        const auto result = apply(store, request("two", "d"));
        story.equal(result.kind, ErrorKind::None, "success");
        story.check(result.wasConfirmedByReading, "confirmation by reading the root");
        story.equal(rootRevision(store), 2U, "revision 2 in the platform");
    });
    story.section("another operator writes the root first", [&] {
        store.beforeRootWrite = [&] {
            store.beforeRootWrite = nullptr;
            story.equal(apply(store, request("theirs", "e")).kind, ErrorKind::None, "success of the other apply");
        };
        const auto result = apply(store, request("ours", "f"));
        story.equal(result.kind, ErrorKind::Conflict, "a conflict");
        story.check(result.message.find("operator-e") != std::string::npos && result.message.find("~policy.json") != std::string::npos,
                    "a message that names the other operator and the changed file");
        story.equal(rootRevision(store), 3U, "the other operator's revision in the platform");
    });
    story.section("another operator writes the root first and the response to this apply's write is lost", [&] {
        store.beforeRootWrite = [&] {
            store.beforeRootWrite = nullptr;
            static_cast<void>(apply(store, request("theirs again", "g")));
            store.rootResponsesToLose = 1;
        };
        story.equal(apply(store, request("ours again", "h")).kind, ErrorKind::Conflict, "a conflict");
    });
    story.section("the platform fails during an apply", [&] {
        store.writesBeforeFailure = 1;
        const auto before = rootRevision(store);
        story.equal(apply(store, request("five", "i")).kind, ErrorKind::PlatformUnavailable, "the error platform-unavailable");
        store.writesBeforeFailure = -1;
        story.equal(rootRevision(store), before, "the same revision in the platform as before");
    });
    story.section("a file larger than 1 MiB", [&] {
        story.equal(apply(store, request(std::string((1U << 20U) + 1, 'x'), "j")).kind, ErrorKind::BodyTooLarge,
                    "the error body-too-large");
    });
    story.section("the history in the platform", [&] {
        const auto history = store.table.list("figpulley/history/");
        story.equal(history.objects.size(), rootRevision(store) - 1, "an entry for every earlier revision");
    });
    story.section("an apply with a revision floor, as after the platform was restored from a backup", [&] {
        auto above = request("after", "k");
        above.revisionFloor = 40;
        story.equal(apply(store, above).revision, 41U, "a revision above the floor");
    });
}

Test(sync, apply_is_atomic)
{
    tests::holds("after any failures either the complete new set of files or the complete previous set is in force", [] {
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

Test(sync, deltas_between_nodes)
{
    tests::Story story;
    sync::SnapshotStore server;
    sync::SnapshotStore client;
    server.applyIfNewer(snapshotOf(1, {{"a", std::string(5000, 'a')}, {"b", "1"}}));
    story.section("a node without a configuration", [&] {
        const auto snapshot = client.applyDelta(server.encodeDelta(0));
        story.check(snapshot && client.applyIfNewer(*snapshot), "a complete snapshot from the delta");
    });
    story.section("a change of one file", [&] {
        server.applyIfNewer(snapshotOf(2, {{"a", std::string(5000, 'a')}, {"b", "2"}}));
        const auto delta = server.encodeDelta(1);
        story.check(delta.size() < 1000, "a delta without the unchanged file");
        const auto snapshot = client.applyDelta(delta);
        story.check(snapshot && client.applyIfNewer(*snapshot), "the delta to be applied");
        story.equal(client.current().files().at(1).text, std::string("2"), "the new text of the changed file");
    });
    story.section("an older revision", [&] {
        story.check(!client.applyIfNewer(snapshotOf(1, {{"a", "x"}})), "the snapshot to be rejected");
        story.check(!client.applyDelta(server.encodeDelta(1)).has_value() || client.current().manifest.revision == 2,
                    "the delta to be rejected, or revision 2 to stay in force");
    });
    story.section("a delta against a revision that the node does not have", [&] {
        sync::SnapshotStore other;
        other.applyIfNewer(snapshotOf(1, {{"c", "c"}}));
        server.applyIfNewer(snapshotOf(3, {{"b", "3"}}));
        story.check(!other.applyDelta(server.encodeDelta(2)).has_value(), "the delta to be rejected");
    });
}

Test(sync, relay_follows_the_platform)
{
    tests::Story story;
    tests::FakeStore store;
    tests::FakeTimers timers;
    sync::SnapshotStore snapshots;
    const auto schedule = [&](core::Duration delay, std::function<void()> callback) { timers.schedule(delay, std::move(callback)); };
    const auto relay = std::make_shared<sync::ConfigRelay>(
        store, schedule, snapshots, [&](sync::Snapshot snapshot) { snapshots.applyIfNewer(std::move(snapshot)); }, 1);
    story.section("a first revision in the platform", [&] {
        static_cast<void>(apply(store, request("one", "a")));
        relay->setActive(true);
        timers.advance(std::chrono::seconds(1));
        story.equal(snapshots.current().manifest.revision, 1U, "the revision to be fetched within 1 s");
    });
    story.section("the platform is down for an hour", [&] {
        store.isDown = true;
        store.calls = 0;
        store.completeWatches();
        timers.advance(std::chrono::hours(1));
        story.check(store.calls < 3600, "fewer than one call per second to the platform");
        story.check(!relay->isPlatformReachable(), "the platform to be reported as unreachable");
        store.isDown = false;
        static_cast<void>(apply(store, request("two", "b")));
        timers.advance(std::chrono::seconds(13));
        story.equal(snapshots.current().manifest.revision, 2U, "a change after the outage to be fetched within 13 s");
    });
    story.section("the platform is restored to an older root", [&] {
        const auto old = sync::historyKey(1);
        auto object = store.table.get(old).object;
        object.version = 77;
        store.table.restore(std::string(sync::rootKey), object);
        store.completeWatches();
        timers.advance(std::chrono::seconds(60));
        story.equal(snapshots.current().manifest.revision, 2U, "the node to keep the newer revision");
        story.equal(relay->olderRootRevision(), 1U, "the older root revision to be reported");
    });
}
