#include "support/story.h"

#include "mesh/changerelay.h"
#include "store/changelog.h"

#include <algorithm>
#include <chrono>

using namespace figpulley;
using namespace std::chrono_literals;
using store::ChangeLog;
using store::CollectionItem;

Test(store, the_change_log_returns_the_changes_after_a_revision)
{
    tests::Story story;
    ChangeLog log;
    story.check(!log.changesAfter(1).has_value(), "no changes to be known before the first list");
    log.put({"a", 3, "1", false});
    log.put({"b", 5, "1", false});
    log.reset({"a", "b"}, 5);
    story.section("after a list", [&] {
        story.equal(log.allItems().size(), 2U, "all listed objects");
        story.check(log.changesAfter(5).has_value() && log.changesAfter(5)->empty(), "no changes after the list's revision");
        story.check(!log.changesAfter(4).has_value(), "changes before the list's revision to be unknown");
    });
    log.put({"b", 7, "2", false});
    log.put({"a", 8, "", true});
    log.advance(9);
    story.section("after changes", [&] {
        story.equal(log.changesAfter(5)->size(), 2U, "both changes after the list's revision");
        story.equal(log.changesAfter(7)->size(), 1U, "only the second change after the first one's revision");
        story.check(log.changesAfter(7)->front().isDeleted, "the second change to be a deletion");
        story.equal(log.allItems().size(), 1U, "one remaining object");
        story.equal(log.revision(), 9U, "the revision that the log was advanced to");
    });
    log.put({"b", 6, "old", false});
    story.equal(log.allItems().front().content, std::string("2"), "an older revision to be ignored");
    story.section("an object that changes while a list is read", [&] {
        log.put({"b", 12, "3", false});
        log.reset({"b"}, 11);
        story.equal(log.changesAfter(11)->size(), 1U, "the change after the beginning of the list to be kept");
    });
}

// Guards against nodes that read everything again whenever the node that they follow lists the store, as at the start of a fleet.
Test(store, a_further_list_keeps_the_changes_that_other_nodes_ask_for)
{
    tests::Story story;
    ChangeLog log;
    for (const auto *name : {"a", "b", "c"}) {
        log.put({name, 5, "1", false});
    }
    log.reset({"a", "b", "c"}, 5);
    log.put({"a", 8, "2", false});
    log.put({"d", 9, "1", false});
    log.reset({"a", "b", "d"}, 10);
    const auto changes = log.changesAfter(5);
    story.check(changes && changes->size() == 3, "a query from before the list to get the changed, the new and the missing object");
    story.check(changes && changes->back().name == "c" && changes->back().isDeleted, "the missing object to be deleted");
    story.check(log.changesAfter(9) && log.changesAfter(9)->size() == 1, "a later query to get what changed after it");
    story.check(log.changesAfter(10) && log.changesAfter(10)->empty(), "a query from the list's revision to get nothing");
    story.check(!log.changesAfter(4).has_value(), "changes before the first list to be unknown");
    story.section("a list of another era", [&] {
        log.beginList(2);
        log.put({"a", 3, "1", false});
        log.reset({"a"}, 3);
        story.check(!log.changesAfter(2).has_value() && log.changesAfter(3)->empty(), "the changes of the earlier era to be unknown");
    });
}

// Guards against a node that catches up and is sent every version of an object that has changed often.
Test(store, changes_after_a_revision_name_each_object_once)
{
    tests::Story story;
    ChangeLog log;
    log.put({"a", 3, "1", false});
    log.put({"b", 4, "1", false});
    log.reset({"a", "b"}, 5);
    for (std::uint64_t revision = 6; revision < 106; ++revision) {
        log.put({revision % 10 == 0 ? "b" : "a", revision, std::to_string(revision), false});
    }
    log.put({"c", 106, "1", false});
    log.put({"c", 107, "", true});
    const auto changes = log.changesAfter(5);
    story.check(changes && changes->size() == 3, "one change of each object");
    story.check(changes && std::ranges::any_of(*changes, [](const auto &item) { return item.name == "a" && item.content == "105"; }),
                "the latest change of the first one");
    story.check(changes && changes->back().isDeleted, "the deletion of the object that came and went");
    story.equal(log.firstChangeAfter(5), 100U, "the first change to be the latest one of the second object");
    story.equal(log.firstChangeAfter(107), 0U, "no change after the last one");
    story.check(log.covers(5) && !log.covers(4), "the log to cover what follows the list");
}

Test(store, change_queries_and_their_responses_are_decoded_as_encoded)
{
    const mesh::ChangeQuery query {"figpulley endpoints", 77, 1s};
    tests::Story story;
    story.check(mesh::decodeChangeQuery(mesh::encode(query)) == query, "the decoded query to equal the encoded one");
    story.check(!mesh::decodeChangeQuery("a b").has_value(), "a truncated query to be rejected");
    store::CollectionItems items;
    items.revision = 9;
    items.items = {{"a", 8, "{\"x\":1}", false}, {"b", 9, "", true}};
    const auto decoded = mesh::decodeItems(mesh::encode(items));
    story.equal(decoded.items.size(), 2U, "both changes to be decoded");
    story.check(decoded.items.back().isDeleted, "the deletion to be decoded");
    story.equal(decoded.revision, 9U, "the revision to be decoded");
    story.check(mesh::decodeItems("{\"revision\":1").kind == core::ErrorKind::PlatformUnavailable, "a truncated response to be rejected");
    tests::holds("any text is decoded or rejected without an exception", [](const std::string &text) {
        static_cast<void>(mesh::decodeChangeQuery(text));
        static_cast<void>(mesh::decodeItems(text));
    });
}
