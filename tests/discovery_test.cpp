#include "support/story.h"

#include "discovery/discovery.h"

#include <chrono>

using namespace figpulley;
using namespace std::chrono_literals;
using discovery::EndpointState;
using discovery::Hearing;

namespace
{
core::TimePoint after(core::Duration duration)
{
    return core::TimePoint {} + 1h + duration;
}

discovery::LocalEndpoint localEndpoint()
{
    return discovery::LocalEndpoint({"10.0.0.1:8300", "motivi", "mineo"});
}

discovery::Announcement heartbeat(std::int64_t incarnation, std::int64_t sequence, bool isDraining = false, std::string id = "i-1")
{
    discovery::Announcement announcement;
    announcement.id = std::move(id);
    announcement.service = "motivi";
    announcement.slots = 10;
    announcement.incarnation = incarnation;
    announcement.sequence = sequence;
    announcement.isDraining = isDraining;
    return announcement;
}

discovery::EndpointRecord recordOf(std::int64_t incarnation, EndpointState state, std::string id = "i-1")
{
    discovery::EndpointRecord record;
    record.node = "10.0.0.1:8300";
    record.id = std::move(id);
    record.service = "motivi";
    record.slots = 10;
    record.incarnation = incarnation;
    record.state = state;
    return record;
}
} // namespace

Test(discovery, the_life_of_an_endpoint)
{
    tests::Story story;
    story.section("it starts, drains and leaves", [&] {
        auto local = localEndpoint();
        story.check(!local.adopt(std::nullopt, after(0s)), "nothing is known at first");
        story.check(!local.isOpen(), "and nothing may reach it");
        story.equal(local.hear(heartbeat(100, 1), after(1s)), Hearing::Changed, "the first heartbeat is news");
        story.check(local.isOpen(), "it takes requests");
        story.equal(local.hear(heartbeat(100, 2), after(2s)), Hearing::Unchanged, "the next one is not");
        story.equal(local.hear(heartbeat(100, 3, true), after(3s)), Hearing::Changed, "that it drains is");
        story.check(!local.isOpen(), "from then on nothing may reach it");
        story.equal(local.hear(heartbeat(100, 4), after(4s)), Hearing::Unchanged, "a ready heartbeat does not take that back");
        story.check(!local.isOpen(), "whatever its number");
        story.equal(local.leave({"i-1", 100}, after(5s), 5000), Hearing::Changed, "it deregisters");
        story.equal(local.record()->state, EndpointState::Gone, "and is gone");
    });
    story.section("a late heartbeat", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.adopt(std::nullopt, after(0s)));
        static_cast<void>(local.hear(heartbeat(100, 5, true), after(1s)));
        story.equal(local.hear(heartbeat(100, 4), after(2s)), Hearing::Stale, "from before the departure changes nothing");
        story.equal(local.hear(heartbeat(200, 1, false, "i-2"), after(3s)), Hearing::Changed, "the next incarnation takes its place");
        story.equal(local.hear(heartbeat(100, 9), after(4s)), Hearing::Stale, "and its predecessor's heartbeats are too late");
        story.equal(local.record()->id, std::string("i-2"), "so the new one stays");
        story.check(local.isOpen(), "and takes requests");
    });
    story.section("the same id starts again", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.adopt(std::nullopt, after(0s)));
        static_cast<void>(local.hear(heartbeat(100, 50, true), after(1s)));
        story.equal(local.hear(heartbeat(300, 1), after(2s)), Hearing::Changed, "with counts that start anew");
        story.check(local.isOpen(), "and takes requests");
        story.equal(local.leave({"i-1", 100}, after(3s), 3000), Hearing::Stale, "its predecessor's departure is too late");
        story.check(local.isOpen(), "and does not close it");
    });
    story.section("heartbeats stay away", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.adopt(std::nullopt, after(0s)));
        static_cast<void>(local.hear(heartbeat(100, 1), after(0s)));
        story.check(!local.checkSilence(6s, after(5s)), "for a while that says nothing");
        story.check(local.checkSilence(6s, after(7s)), "then others are told");
        story.equal(local.hear(heartbeat(100, 2), after(8s)), Hearing::Changed, "until the next one comes");
        story.equal(local.record()->state, EndpointState::Ready, "which makes it ready");
    });
    story.section("another service's heartbeat", [&] {
        auto local = localEndpoint();
        auto foreign = heartbeat(100, 1);
        foreign.service = "commesse";
        story.equal(local.hear(foreign, after(0s)), Hearing::Foreign, "names no endpoint of this VM");
    });
}

Test(discovery, a_restarted_node_knows_of_departures)
{
    tests::Story story;
    story.section("the store has the departure", [&] {
        auto local = localEndpoint();
        story.equal(local.hear(heartbeat(100, 3), after(0s)), Hearing::Changed, "a late heartbeat comes before the store was read");
        story.check(!local.isOpen(), "one alone does not open the gate");
        story.check(!local.adopt(recordOf(100, EndpointState::Draining), after(1s)), "the store knows more");
        story.check(!local.isOpen(), "so it stays closed");
        static_cast<void>(local.hear(heartbeat(100, 4), after(2s)));
        story.check(!local.isOpen(), "whatever late heartbeats say");
    });
    story.section("the store has an earlier incarnation", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.hear(heartbeat(200, 1), after(0s)));
        story.check(local.adopt(recordOf(100, EndpointState::Gone), after(1s)), "the new one has to be written");
        story.check(local.isOpen(), "and takes requests");
    });
    story.section("the store cannot be read", [&] {
        auto local = localEndpoint();
        static_cast<void>(local.hear(heartbeat(100, 7), after(0s)));
        static_cast<void>(local.hear(heartbeat(100, 8), after(1s)));
        story.check(local.isOpen(), "two heartbeats in a row open the gate");
    });
    story.section("the endpoint leaves before the store can be read", [&] {
        auto local = localEndpoint();
        story.equal(local.leave({"i-1", 0}, after(0s), 5000), Hearing::Changed, "and does not tell its incarnation");
        story.check(local.adopt(recordOf(100, EndpointState::Ready), after(1s)), "the stored record is older");
        story.check(!local.isOpen(), "and does not bring it back");
        story.equal(local.hear(heartbeat(100, 9), after(2s)), Hearing::Stale, "nor does a late heartbeat");
        story.equal(local.hear(heartbeat(6000, 1), after(8s)), Hearing::Changed, "the next incarnation is heard");
        story.check(local.isOpen(), "and takes requests");
    });
    story.section("the store has it ready", [&] {
        auto local = localEndpoint();
        story.check(!local.adopt(recordOf(100, EndpointState::Ready), after(0s)), "nothing has to be written");
        story.check(local.isOpen(), "requests may reach it before the next heartbeat");
    });
}

Test(discovery, the_directory_never_goes_back)
{
    tests::Story story;
    discovery::Directory directory;
    story.check(directory.put(recordOf(100, EndpointState::Ready), 5, after(0s)), "a record is news");
    story.check(!directory.put(recordOf(100, EndpointState::Draining), 4, after(0s)), "an older revision is not");
    story.equal(directory.ready("motivi").size(), 1U, "so it takes requests");
    story.check(directory.put(recordOf(100, EndpointState::Draining), 6, after(0s)), "a newer one is");
    story.equal(directory.ready("motivi").size(), 0U, "and it takes none");
    story.check(directory.remove("10.0.0.1:8300", 7), "the object is deleted");
    story.check(!directory.put(recordOf(100, EndpointState::Ready), 6, after(0s)), "a late snapshot does not bring it back");
    story.check(directory.put(recordOf(200, EndpointState::Ready), 9, after(0s)), "a new one does");
    directory.retain({}, 8);
    story.equal(directory.ready("motivi").size(), 1U, "a list that was begun before it says nothing of it");
    directory.retain({}, 10);
    story.equal(directory.ready("motivi").size(), 0U, "one that was begun later does");
}

Test(discovery, records_survive_the_store_and_nothing_else_does)
{
    tests::holds("a record is read as it was written", [] {
        discovery::EndpointRecord record;
        record.node = "10.0.0.1:8300";
        record.id = "i-" + *rc::gen::string<std::string>();
        record.service = "s" + *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
        record.slots = *rc::gen::inRange(0, 1000);
        record.state = *rc::gen::element(EndpointState::Ready, EndpointState::Draining, EndpointState::Gone, EndpointState::Silent);
        record.incarnation = *rc::gen::inRange<std::int64_t>(0, 2'000'000'000'000);
        const auto text = discovery::encode(record);
        const auto again = discovery::decodeEndpointRecord(text);
        RC_ASSERT(again.has_value());
        RC_ASSERT(again->state == record.state && again->slots == record.slots && again->incarnation == record.incarnation);
    });
    tests::holds("cut and foreign texts name no endpoint", [] {
        const auto text = discovery::encode(recordOf(1, EndpointState::Ready));
        const auto length = *rc::gen::inRange<std::size_t>(0, text.size());
        RC_ASSERT(!discovery::decodeEndpointRecord(text.substr(0, length)));
        RC_ASSERT(!discovery::decodeEndpointRecord(R"({"node":1,"id":[],"service":{}})"));
    });
}

Test(discovery, few_nodes_watch_the_store)
{
    tests::Story story;
    const auto fleet = [](int size) {
        discovery::Directory directory;
        for (int at = 0; at < size; ++at) {
            discovery::EndpointRecord record;
            record.node = "10.0." + std::to_string(at / 250) + "." + std::to_string(at % 250) + ":80";
            record.id = "i-" + std::to_string(at);
            record.service = "motivi";
            record.zone = at % 2 == 0 ? "mineo" : "vizzini";
            record.incarnation = 1;
            directory.put(record, static_cast<std::uint64_t>(at) + 1, core::TimePoint {} + 1h);
        }
        return directory;
    };
    story.check(discovery::watchersOf(fleet(0), "mineo", "x").empty(), "nobody watches for an empty zone");
    story.equal(discovery::watchersOf(fleet(16), "mineo", "x").size(), 1U, "one watches for a small zone");
    story.equal(discovery::watchersOf(fleet(1300), "mineo", "x").size(), 11U, "eleven for 650 nodes");
    const auto directory = fleet(400);
    auto first = discovery::watchersOf(directory, "mineo", "10.0.0.2:80");
    auto second = discovery::watchersOf(directory, "mineo", "10.0.0.4:80");
    std::sort(first.begin(), first.end());
    std::sort(second.begin(), second.end());
    story.check(first == second, "all who ask agree on them");
    story.section("one of them leaves", [&] {
        auto changed = directory;
        auto record = changed.find(first.front())->record;
        record.state = discovery::EndpointState::Draining;
        changed.put(record, 10'000, core::TimePoint {} + 2h);
        const auto after = discovery::watchersOf(changed, "mineo", "10.0.0.2:80");
        story.check(std::find(after.begin(), after.end(), first.front()) == after.end(), "and is not asked any more");
        story.equal(after.size(), first.size(), "another takes its place");
    });
}
