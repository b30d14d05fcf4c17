#include "support/fakestore.h"
#include "support/largestate.h"
#include "support/story.h"

#include "mesh/collectionfollower.h"
#include "mesh/localregistrar.h"
#include "mesh/snapshotexchange.h"

#include <algorithm>
#include <chrono>

using namespace figpulley;
using namespace std::chrono_literals;

namespace
{
// Revision of the store after its first write, from which the node's log holds the changes.
constexpr std::uint64_t firstRevision = 2;

std::string headersOf(const mesh::ChangeQuery &query)
{
    return fmt::format("{}: {}\r\n{}: 1\r\n", mesh::ChangeRelay::header, mesh::encode(query), mesh::ChangeRelay::eraHeader);
}

void closeAll(const std::vector<int> &connections)
{
    std::for_each(connections.begin(), connections.end(), [](int connection) { close(connection); });
}
} // namespace

// Guards against a node that exceeds its memory as it answers one that has missed many changes of a large configuration (incident 0010).
Test(memory, node_that_answers_nodes_that_catch_up_stays_within_the_smallest_vm)
{
    tests::Story story;
    tests::LargeStateFleet fleet;
    constexpr int changes = 30;
    fleet.change(changes);
    story.section("one node has missed all changes", [&] {
        const auto response = fleet.query({"config", firstRevision, 1s});
        const auto answer = mesh::decodeItems(response.body);
        story.equal(answer.items.size(), 1U, "it to get the object once");
        story.check(!answer.items.empty() && answer.items.back().content == tests::largeRoutes(fleet.version),
                    "it to get the newest state");
    });
    story.section("many nodes that read nothing more have missed different numbers of changes", [&] {
        std::vector<int> connections;
        for (int at = 0; at < 100; ++at) {
            connections.push_back(fleet.askWithoutReading(headersOf({"config", firstRevision + static_cast<unsigned>(at % changes), 1s})));
        }
        std::this_thread::sleep_for(500ms);
        const auto response = fleet.query({"config", firstRevision, 1s});
        story.equal(mesh::decodeItems(response.body).items.size(), 1U, "one that reads to get its answer meanwhile");
        closeAll(connections);
    });
    story.check(fleet.node().isRunning() && fleet.node().peakMemory() < tests::smallestVmBytes,
                fmt::format("the node within its memory, not {} bytes", fleet.node().peakMemory()));
}

// Guards against answers of many versions that nodes which stand still keep on their connections, without a bound or for ever.
Test(memory, nodes_that_stand_still_hold_a_bounded_size_of_answers)
{
    tests::Story story;
    tests::LargeStateFleet fleet;
    std::vector<int> connections;
    for (int at = 0; at < 40; ++at) {
        connections.push_back(fleet.askWithoutReading(headersOf({"config", 0, {}})));
        fleet.change(1);
    }
    std::this_thread::sleep_for(3s);
    const auto before = core::steadyNow();
    const auto answer = mesh::decodeItems(fleet.query({"config", 0, {}}).body);
    story.check(!answer.items.empty() && answer.items.back().content == tests::largeRoutes(fleet.version),
                "one that reads to get the newest state when the others have held their answers for too long");
    story.check(core::steadyNow() - before < 1s, "it to get it at once");
    closeAll(connections);
    story.check(fleet.node().isRunning() && fleet.node().peakMemory() < tests::smallestVmBytes,
                fmt::format("the node within its memory, not {} bytes", fleet.node().peakMemory()));
}

// Guards against a node that keeps every version of a large configuration until it exceeds its memory (incident 0011).
Test(memory, node_keeps_no_earlier_versions_of_a_large_configuration)
{
    tests::Story story;
    tests::LargeStateFleet fleet;
    fleet.change(170); // more bytes than the node may have, if it keeps them
    story.check(fleet.node().isRunning() && fleet.node().peakMemory() < tests::smallestVmBytes,
                fmt::format("the node within its memory, not {} bytes", fleet.node().peakMemory()));
}

// Guards against a node that has missed more than an answer may hold and never gets to the newest state.
Test(memory, node_that_stood_still_reaches_the_newest_state)
{
    tests::Story story;
    constexpr core::Duration catchUpLimit = 4s; // within which the users want a node to catch up
    tests::LargeStateFleet fleet(3);
    for (const auto &process : fleet.processes) {
        if (process.get() != &fleet.node()) {
            process->signal(SIGSTOP);
        }
    }
    fleet.change(40);
    for (const auto &process : fleet.processes) {
        process->signal(SIGCONT);
    }
    for (const auto &process : fleet.processes) {
        story.check(fleet.reachesNewest(*process, catchUpLimit), "the newest state to be active at " + process->vm().name);
        story.check(process->peakMemory() < tests::smallestVmBytes,
                    fmt::format("{} within its memory, not {} bytes", process->vm().name, process->peakMemory()));
    }
}

// Guards against lists that are too large for the node that asks, which throws them away and asks the next node the same.
Test(memory, large_collection_is_listed_in_pages)
{
    tests::Story story;
    tests::LargeStateFleet fleet;
    constexpr std::size_t objects = 4000;
    fleet.onStore([](tests::MetadataStore &store) {
        const auto content = "\"" + std::string(1000, 'x') + "\"";
        for (std::size_t number = 0; number < objects; ++number) {
            store.write(mesh::LocalRegistrar::collection, fmt::format("other-{:05}", number), content);
        }
    });
    std::vector<std::string> names;
    std::size_t largestAnswer = 0;
    const auto listAll = [&] {
        names.clear();
        mesh::ChangeQuery query {mesh::LocalRegistrar::collection, 0, {}};
        query.after = "";
        store::CollectionItems page;
        do {
            const auto response = fleet.query(query);
            page = mesh::decodeItems(response.body);
            largestAnswer = std::max(largestAnswer, response.body.size());
            for (const auto &item : page.items) {
                names.push_back(item.name);
            }
            query.after = page.lastName;
        } while (page.hasMore);
    };
    const auto deadline = core::steadyNow() + 5s;
    while (names.size() < objects && core::steadyNow() < deadline) {
        listAll();
        std::this_thread::sleep_for(20ms);
    }
    story.equal(names.size(), objects, "all objects in all pages together");
    story.check(std::ranges::is_sorted(names) && std::ranges::adjacent_find(names) == names.end(), "each object once, by name");
    story.check(largestAnswer > 0 && largestAnswer < 2 * mesh::ChangeRelay::maxPageBytes, "each answer of about the size of a page");
    story.section("all changes since the start", [&] {
        std::size_t changes = 0;
        std::uint64_t revision = 2;
        for (int pages = 0; pages < 20; ++pages) {
            const auto page = mesh::decodeItems(fleet.query({mesh::LocalRegistrar::collection, revision, 10ms}).body);
            if (page.items.empty()) {
                break;
            }
            changes += page.items.size();
            revision = page.revision;
        }
        story.equal(changes, objects, "each object once");
    });
}

// Guards against a node that misses changes because the pages of its list came from sources that know different amounts.
Test(memory, list_begins_again_if_a_later_page_is_older)
{
    tests::Story story;
    /// Answers lists from a script.
    class ScriptedStore : public store::CollectionStore
    {
    public:
        void list(const std::string & /*collection*/, const std::string & /*after*/, ItemsCallback callback) override
        {
            this->pending.push_back(std::move(callback));
        }

        void watch(const std::string & /*collection*/, std::uint64_t revision, core::Duration /*wait*/, ItemsCallback /*callback*/) override
        {
            this->watchedFrom = revision;
        }

        void get(const std::string & /*collection*/, const std::string & /*name*/, ItemCallback /*callback*/) override
        {
        }

        void put(const std::string & /*collection*/, const std::string & /*name*/, const std::string & /*content*/,
                 std::uint64_t /*revision*/, ItemCallback /*callback*/) override
        {
        }

        void answer(std::uint64_t revision, const std::string &name, bool hasMore)
        {
            store::CollectionItems page;
            page.revision = revision;
            page.items = {{name, 1, "x", false}};
            page.lastName = name;
            page.hasMore = hasMore;
            const auto callback = std::exchange(this->pending, {}).front();
            callback(page);
        }

        std::vector<ItemsCallback> pending;
        std::uint64_t watchedFrom = 0;
    };
    ScriptedStore scripted;
    tests::FakeTimers timers;
    core::Random random {1};
    mesh::CollectionListener listener {[](std::uint64_t) {}, [](const store::CollectionItem &) {},
                                       [](const std::unordered_set<std::string> &, std::uint64_t) {}, [](std::uint64_t) {},
                                       [](std::size_t) {}};
    const auto follower = std::make_shared<mesh::CollectionFollower>(
        scripted, "records", listener,
        [&timers](core::Duration delay, std::function<void()> callback) { timers.schedule(delay, std::move(callback)); }, random,
        [] { return core::Duration(1s); }, core::Duration {});
    follower->start();
    scripted.answer(100, "a", true);
    scripted.answer(90, "b", false);
    story.equal(scripted.watchedFrom, 0U, "no watch to begin after a list of two states");
    timers.advance(1s);
    story.equal(scripted.pending.size(), 1U, "the list to begin again after a delay");
    scripted.answer(101, "a", true);
    scripted.answer(101, "b", false);
    story.equal(scripted.watchedFrom, 101U, "the watch to follow the complete list");
}

// Guards against a node whose store answers its watch, after a silence, with every version in between: more than it can take.
Test(memory, node_catches_up_with_a_store_that_was_silent)
{
    tests::Story story;
    constexpr core::Duration catchUpLimit = 4s; // within which the users want a node to catch up
    tests::LargeStateFleet fleet;
    fleet.onStore([](tests::MetadataStore &store) { store.fault = tests::MetadataStore::Fault::Unresponsive; });
    std::this_thread::sleep_for(1500ms); // a watch that was waiting before has ended, and the next one is not answered
    constexpr int missed = 60;
    fleet.onStore([&](tests::MetadataStore &store) {
        for (int at = 0; at < missed; ++at) {
            store.writeRaw("config", "main", tests::largeRoutes(++fleet.version));
        }
        store.fault = tests::MetadataStore::Fault::None;
    });
    story.check(fleet.reachesNewest(fleet.node(), catchUpLimit), "the newest state to be active in time");
    story.check(fleet.node().peakMemory() < tests::smallestVmBytes,
                fmt::format("the node within its memory, not {} bytes", fleet.node().peakMemory()));
}

// Guards against nodes that each get a copy of their own of a large configuration, as all those that a change has reached late ask at once.
Test(memory, snapshots_for_many_nodes_at_once_take_bounded_memory)
{
    tests::Story story;
    tests::LargeStateFleet fleet;
    fleet.change(1);
    std::vector<int> connections;
    for (int at = 0; at < 200; ++at) {
        connections.push_back(fleet.askWithoutReading(
            fmt::format("{}: {}\r\n", mesh::SnapshotExchange::header, at % 2 == 0 ? "1" : fmt::format("127.0.0.1:{}", at))));
    }
    std::this_thread::sleep_for(3s);
    net::ClientRequest request;
    request.headers = {{mesh::SnapshotExchange::header, "1"}};
    request.url = "http://" + fleet.node().vm().ingress.toString() + "/";
    tests::HttpCaller caller;
    const auto response = caller.call(request);
    story.check(response.head.status == 200 && response.body.size() > 1'000'000, "one that reads to get its snapshot");
    closeAll(connections);
    story.check(fleet.node().isRunning() && fleet.node().peakMemory() < tests::smallestVmBytes,
                fmt::format("the node within its memory, not {} bytes", fleet.node().peakMemory()));
}
