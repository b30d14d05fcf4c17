#include "support/story.h"

#include "mesh/changerelay.h"
#include "store/changelog.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <unordered_set>

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
        story.equal(log.list().items.size(), 2U, "all listed objects");
        story.check(log.changesAfter(5).has_value() && log.changesAfter(5)->items.empty(), "no changes after the list's revision");
        story.check(!log.changesAfter(4).has_value(), "changes before the list's revision to be unknown");
    });
    log.put({"b", 7, "2", false});
    log.put({"a", 8, "", true});
    log.advance(9);
    story.section("after changes", [&] {
        story.equal(log.changesAfter(5)->items.size(), 2U, "both changes after the list's revision");
        story.equal(log.changesAfter(7)->items.size(), 1U, "only the second change after the first one's revision");
        story.check(log.changesAfter(7)->items.front().isDeleted, "the second change to be a deletion");
        story.equal(log.list().items.size(), 1U, "one remaining object");
        story.equal(log.revision(), 9U, "the revision that the log was advanced to");
    });
    log.put({"b", 6, "old", false});
    story.equal(log.list().items.front().content, std::string("2"), "an older revision to be ignored");
    story.section("an object that changes while a list is read", [&] {
        log.put({"b", 12, "3", false});
        log.reset({"b"}, 11);
        story.equal(log.changesAfter(11)->items.size(), 1U, "the change after the beginning of the list to be kept");
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
    story.check(changes && changes->items.size() == 3, "a query from before the list to get the changed, the new and the missing object");
    story.check(changes && changes->items.back().name == "c" && changes->items.back().isDeleted, "the missing object to be deleted");
    story.check(log.changesAfter(9) && log.changesAfter(9)->items.size() == 1, "a later query to get what changed after it");
    story.check(log.changesAfter(10) && log.changesAfter(10)->items.empty(), "a query from the list's revision to get nothing");
    story.check(!log.changesAfter(4).has_value(), "changes before the first list to be unknown");
    story.section("a list of another era", [&] {
        log.beginList(2);
        log.put({"a", 3, "1", false});
        log.reset({"a"}, 3);
        story.check(!log.changesAfter(2).has_value() && log.changesAfter(3)->items.empty(), "the changes of the earlier era to be unknown");
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
    story.check(changes && changes->items.size() == 3, "one change of each object");
    story.check(changes && std::ranges::any_of(changes->items, [](const auto &item) { return item.name == "a" && item.content == "105"; }),
                "the latest change of the first one");
    story.check(changes && changes->items.back().isDeleted, "the deletion of the object that came and went");
    story.equal(log.firstChangeAfter(5), 100U, "the first change to be the latest one of the second object");
    story.equal(log.firstChangeAfter(107), 0U, "no change after the last one");
    story.check(log.covers(5) && !log.covers(4), "the log to cover what follows the list");
}

// Guards against memory that grows with the versions of an object, with large objects of other writers or with deleted ones.
Test(store, the_change_log_is_bounded_in_bytes)
{
    tests::Story story;
    story.section("many versions of one object of the largest size", [&] {
        ChangeLog log;
        log.put({"main", 2, std::string(store::maxValueBytes, 'a'), false});
        log.reset({"main"}, 2);
        for (std::uint64_t revision = 3; revision < 103; ++revision) {
            log.put({"main", revision, std::string(store::maxValueBytes, 'b'), false});
            log.advance(revision);
        }
        story.check(log.bytes() < store::maxValueBytes + 100, "the log to keep one of them");
        story.equal(log.changesAfter(2)->items.size(), 1U, "a node that has missed all changes to get the last one");
        story.equal(log.changesAfter(2)->items.front().revision, 102U, "its revision to be that of the last change");
    });
    store::ChangeLogLimits limits;
    limits.contentBytes = 1000;
    limits.totalBytes = 20'000;
    limits.deletionBytes = 1000;
    story.section("large objects of another writer among small ones", [&] {
        ChangeLog log(limits);
        std::unordered_set<std::string> names;
        for (std::uint64_t number = 0; number < 100; ++number) {
            const auto name = "object-" + std::to_string(number);
            names.insert(name);
            log.put({name, 1 + number, std::string(number % 2 == 0 ? 100 : 900'000, 'x'), false});
        }
        log.reset(names, 200);
        story.check(log.bytes() < limits.totalBytes && !log.isTruncated(), "only the small ones to be kept");
        const auto listed = log.list();
        story.equal(listed.items.size(), 100U, "all to be listed");
        story.check(
            std::ranges::all_of(listed.items, [](const auto &item) { return item.content.size() == (item.revision % 2 == 1 ? 100U : 0U); }),
            "the large ones to be listed without their content");
    });
    story.section("more objects than the total size allows", [&] {
        ChangeLog log(limits);
        for (std::uint64_t number = 0; number < 100; ++number) {
            log.put({"object-" + std::to_string(number), 1 + number, std::string(900, 'x'), false});
        }
        story.check(log.bytes() <= limits.totalBytes + 100 * 10, "the contents to stay within it");
        story.check(log.isTruncated(), "the log to say that it cannot serve others");
        for (std::uint64_t number = 0; number < 100; ++number) {
            log.put({"object-" + std::to_string(number), 200 + number, "small", false});
        }
        story.check(!log.isTruncated(), "it to serve them again when all objects have room");
    });
    story.section("many deleted objects", [&] {
        ChangeLog log(limits);
        log.reset({}, 1);
        for (std::uint64_t number = 0; number < 1000; ++number) {
            const auto name = "object-" + std::to_string(number);
            log.put({name, 2 + 2 * number, "x", false});
            log.put({name, 3 + 2 * number, {}, true});
            log.advance(3 + 2 * number);
        }
        story.check(log.bytes() <= limits.deletionBytes, "only the latest deletions to be kept");
        story.check(!log.covers(100), "a node that has missed the others to have to list the objects");
        story.equal(log.changesAfter(1995)->items.size(), 3U, "the latest deletions to be known");
    });
    story.section("an older version after the deletion", [&] {
        ChangeLog log;
        log.put({"a", 5, {}, true});
        log.put({"a", 4, "old", false});
        story.check(log.list().items.empty(), "the object to stay deleted");
    });
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
