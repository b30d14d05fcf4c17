#include "support/story.h"

#include "mesh/changerelay.h"
#include "store/changelog.h"

#include <chrono>

using namespace figpulley;
using namespace std::chrono_literals;
using store::ChangeLog;
using store::CollectionItem;

Test(store, changes_of_a_collection)
{
    tests::Story story;
    ChangeLog log;
    story.check(!log.after(1).has_value(), "before the first list nothing is known");
    log.put({"a", 3, "1", false});
    log.put({"b", 5, "1", false});
    log.reset({"a", "b"}, 5);
    story.section("after a list", [&] {
        story.equal(log.all().size(), 2U, "all is known");
        story.check(log.after(5).has_value() && log.after(5)->empty(), "nothing has changed since");
        story.check(!log.after(4).has_value(), "and what came before is not known");
    });
    log.put({"b", 7, "2", false});
    log.put({"a", 8, "", true});
    log.advance(9);
    story.section("after changes", [&] {
        story.equal(log.after(5)->size(), 2U, "both are told to whoever knows the list");
        story.equal(log.after(7)->size(), 1U, "the later one to whoever knows the earlier");
        story.check(log.after(7)->front().isDeleted, "which was a deletion");
        story.equal(log.all().size(), 1U, "so one object is left");
        story.equal(log.revision(), 9U, "and the store's revision is known");
    });
    log.put({"b", 6, "old", false});
    story.equal(log.all().front().content, std::string("2"), "an older revision changes nothing");
    story.section("a list of several pages, during which an object changes", [&] {
        log.put({"b", 12, "3", false});
        log.reset({"b"}, 11);
        story.equal(log.after(11)->size(), 1U, "keeps the change that came after its beginning");
    });
}

Test(store, what_nodes_ask_each_other)
{
    const mesh::ChangeQuery query {"figpulley endpoints", 77, 1s};
    tests::Story story;
    story.check(mesh::decodeChangeQuery(mesh::encode(query)) == query, "a query survives its way");
    story.check(!mesh::decodeChangeQuery("a b").has_value(), "a cut one is refused");
    store::CollectionItems items;
    items.revision = 9;
    items.items = {{"a", 8, "{\"x\":1}", false}, {"b", 9, "", true}};
    const auto read = mesh::decodeItems(mesh::encode(items));
    story.equal(read.items.size(), 2U, "changes survive theirs");
    story.check(read.items.back().isDeleted, "deletions as well");
    story.equal(read.revision, 9U, "with the revision");
    story.check(mesh::decodeItems("{\"revision\":1").kind == core::ErrorKind::PlatformUnavailable, "and a cut answer is none");
    tests::holds("any text is read or refused", [](const std::string &text) {
        static_cast<void>(mesh::decodeChangeQuery(text));
        static_cast<void>(mesh::decodeItems(text));
    });
}
