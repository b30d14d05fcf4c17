#include "support/largestate.h"
#include "support/story.h"

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
    tests::LargeStateNode node;
    constexpr int changes = 30;
    node.change(changes);
    story.section("one node has missed all changes", [&] {
        const auto response = node.query({"config", firstRevision, 1s});
        const auto answer = mesh::decodeItems(response.body);
        story.equal(answer.items.size(), 1U, "it to get the object once");
        story.check(!answer.items.empty() && answer.items.back().content == tests::largeRoutes(node.version), "it to get the newest state");
    });
    story.section("many nodes that read nothing more have missed different numbers of changes", [&] {
        std::vector<int> connections;
        for (int at = 0; at < 100; ++at) {
            connections.push_back(node.askWithoutReading(headersOf({"config", firstRevision + static_cast<unsigned>(at % changes), 1s})));
        }
        std::this_thread::sleep_for(500ms);
        const auto response = node.query({"config", firstRevision, 1s});
        story.equal(mesh::decodeItems(response.body).items.size(), 1U, "one that reads to get its answer meanwhile");
        closeAll(connections);
    });
    story.check(node.process->isRunning() && node.process->peakMemory() < tests::smallestVmBytes,
                fmt::format("the node within its memory, not {} bytes", node.process->peakMemory()));
}

// Guards against answers of many versions that nodes which stand still keep on their connections, without a bound or for ever.
Test(memory, nodes_that_stand_still_hold_a_bounded_size_of_answers)
{
    tests::Story story;
    tests::LargeStateNode node;
    std::vector<int> connections;
    for (int at = 0; at < 40; ++at) {
        connections.push_back(node.askWithoutReading(headersOf({"config", 0, {}})));
        node.change(1);
    }
    std::this_thread::sleep_for(3s);
    const auto before = core::steadyNow();
    const auto answer = mesh::decodeItems(node.query({"config", 0, {}}).body);
    story.check(!answer.items.empty() && answer.items.back().content == tests::largeRoutes(node.version),
                "one that reads to get the newest state when the others have held their answers for too long");
    story.check(core::steadyNow() - before < 1s, "it to get it at once");
    closeAll(connections);
    story.check(node.process->isRunning() && node.process->peakMemory() < tests::smallestVmBytes,
                fmt::format("the node within its memory, not {} bytes", node.process->peakMemory()));
}

// Guards against a node that keeps every version of a large configuration until it exceeds its memory (incident 0011).
Test(memory, node_keeps_no_earlier_versions_of_a_large_configuration)
{
    tests::Story story;
    tests::LargeStateNode node;
    node.change(170); // more bytes than the node may have, if it keeps them
    story.check(node.process->isRunning() && node.process->peakMemory() < tests::smallestVmBytes,
                fmt::format("the node within its memory, not {} bytes", node.process->peakMemory()));
}
