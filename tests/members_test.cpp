#include "support/simulatedfleet.h"
#include "support/story.h"

#include "members/rendezvous.h"

using namespace figpulley;
using members::Claim;
using members::Member;

namespace
{
bool isAlive(const Member &member)
{
    return member.announcement.claim == Claim::Alive;
}

bool isDead(const Member &member)
{
    return member.announcement.claim == Claim::Dead;
}

bool isLeaving(const Member &member)
{
    return member.announcement.isLeaving;
}

void fill(tests::SimulatedFleet &fleet, int perZone, const std::vector<std::string> &zones)
{
    for (const auto &zone : zones) {
        for (int count = 0; count < perZone; ++count) {
            fleet.add(zone, "motivi");
        }
    }
}
} // namespace

Test(members, a_zone_finds_itself)
{
    tests::Story story;
    tests::SimulatedFleet fleet(1);
    fill(fleet, 12, {"mineo"});
    story.section("twelve nodes start at once with two contact points", [&] {
        fleet.run(10000);
        story.equal(fleet.countNodesWithLiveMembers(11), 12, "all know all");
        story.check(fleet.maxDatagramBytes <= members::largestMessage, "no datagram is too large");
    });
    const auto victim = fleet.cores.begin()->first;
    story.section("one is leaving", [&] {
        auto &core = *fleet.cores[victim];
        fleet.send(victim, core.swim.announceLeaving(*core.board, true, tests::at(fleet.now), fleet.random));
        fleet.run(3000);
        story.equal(fleet.countNodesWhere(victim, isLeaving), 11, "everybody knows within three seconds");
        fleet.send(victim, core.swim.announceLeaving(*core.board, false, tests::at(fleet.now), fleet.random));
        fleet.run(3000);
        story.equal(fleet.countNodesWhere(victim, isLeaving), 0, "and knows when it comes back");
    });
    story.section("one dies", [&] {
        fleet.cores[victim]->isUp = false;
        fleet.run(30000);
        story.equal(fleet.countNodesWhere(victim, isAlive), 0, "nobody takes it for alive");
    });
    story.section("its VM is replaced, with a clock that is behind", [&] {
        fleet.startNode(victim, "mineo", "motivi", 5);
        fleet.run(20000);
        story.equal(fleet.countNodesWhere(victim, isAlive), 11, "everybody sees the new life");
        story.check(core::value(fleet.cores[victim]->board->identity.incarnation) > 100, "whose incarnation exceeds the old one");
    });
}

Test(members, pauses_and_cuts)
{
    tests::Story story;
    tests::SimulatedFleet fleet(2);
    fill(fleet, 10, {"mineo"});
    fleet.run(15000);
    const auto victim = fleet.cores.rbegin()->first;
    story.section("a node is paused for a minute", [&] {
        fleet.cores[victim]->isUp = false;
        fleet.run(60000);
        fleet.cores[victim]->isUp = true;
        fleet.run(20000);
        story.equal(fleet.countNodesWhere(victim, isAlive), 9, "it comes back alive");
        story.equal(fleet.countNodesWithLiveMembers(9), 10, "and nobody else was lost");
    });
    story.section("a node is cut off from all others", [&] {
        fleet.isPartitioned = [&](const std::string &from, const std::string &to) { return from == victim || to == victim; };
        fleet.run(60000);
        const auto &state = fleet.cores[victim]->board->membership.read();
        int dead = 0;
        for (const auto &[id, member] : state.members) {
            dead += isDead(member) ? 1 : 0;
        }
        story.check(state.isIsolated, "it takes itself for the one that is cut off");
        story.equal(dead, 0, "and declares nobody dead");
        fleet.isPartitioned = nullptr;
        fleet.run(30000);
        story.equal(fleet.countNodesWithLiveMembers(9), 10, "after the cut all know all");
    });
}

Test(members, zones)
{
    tests::Story story;
    tests::SimulatedFleet fleet(3);
    fill(fleet, 6, {"caltagirone", "mineo", "vizzini"});
    story.section("three zones", [&] {
        fleet.run(40000);
        story.equal(fleet.countNodesWithLiveMembers(17), 18, "all know all");
    });
    const auto zoneOf = [&](const std::string &address) { return fleet.cores[address]->board->identity.availabilityZone; };
    std::string vizzini;
    for (const auto &[address, core] : fleet.cores) {
        if (core->board->identity.availabilityZone == "vizzini") {
            vizzini = address;
        }
    }
    story.section("one zone is cut off for two minutes and loses a node meanwhile", [&] {
        fleet.isPartitioned = [&](const std::string &from, const std::string &to) {
            return (zoneOf(from) == "vizzini") != (zoneOf(to) == "vizzini");
        };
        fleet.cores[vizzini]->isUp = false;
        fleet.run(120000);
        story.equal(fleet.countNodesWhere(vizzini, isAlive), 12, "the other zones cannot know, and keep it");
    });
    story.section("the cut heals", [&] {
        fleet.isPartitioned = nullptr;
        fleet.run(60000);
        story.equal(fleet.countNodesWhere(vizzini, isAlive), 0, "everybody learns of the death");
        story.equal(fleet.countNodesWithLiveMembers(16), 17, "and all know all the rest");
    });
    story.section("a whole zone is replaced one by one", [&] {
        std::vector<std::string> addresses;
        for (const auto &[address, core] : fleet.cores) {
            if (zoneOf(address) == "mineo") {
                addresses.push_back(address);
            }
        }
        std::uint64_t incarnation = 1000;
        for (const auto &address : addresses) {
            fleet.startNode(address, "mineo", "motivi", ++incarnation);
            fleet.run(10000);
        }
        fleet.run(30000);
        story.equal(fleet.countNodesWithLiveMembers(16), 17, "all know all");
    });
}

Test(members, no_false_removal)
{
    tests::holds("without a fault nobody is taken for dead, and all converge", [] {
        tests::SimulatedFleet fleet(*rc::gen::arbitrary<std::uint32_t>());
        fill(fleet, *rc::gen::inRange(2, 6), {"mineo", "vizzini"});
        const auto count = fleet.cores.size();
        for (int round = 0; round < 40; ++round) {
            fleet.run(1000);
            for (const auto &[address, core] : fleet.cores) {
                RC_ASSERT(fleet.countNodesWhere(address, isDead) == 0);
            }
        }
        RC_ASSERT(fleet.countNodesWithLiveMembers(count - 1) == static_cast<int>(count));
    });
}

Test(members, decoder)
{
    tests::holds("any bytes are a message or refused", [](const std::string &bytes) {
        static_cast<void>(members::decodeSwimMessage(bytes));
        static_cast<void>(core::decodeEnvelope(bytes));
        static_cast<void>(core::decodeOutcome(bytes));
    });
    tests::holds("mutations of a valid message are a message or refused", [] {
        members::SwimMessage message;
        message.sender = "10.0.0.1:1";
        message.announcements.resize(3);
        message.digests.push_back({"mineo", 17, 3});
        auto bytes = members::encode(message);
        const auto edits = *rc::gen::inRange(1, 8);
        for (int edit = 0; edit < edits; ++edit) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        static_cast<void>(members::decodeSwimMessage(bytes));
    });
}

Test(members, rendezvous)
{
    tests::holds("the loss of one node moves only its own roles", [] {
        const auto count = *rc::gen::inRange(4, 30);
        std::vector<core::NodeId> nodes;
        for (int number = 0; number < count; ++number) {
            nodes.push_back(members::nodeIdOf("10.0.0." + std::to_string(number) + ":1"));
        }
        const auto before = members::rendezvousOrder("relay", nodes, 3);
        const auto lost = nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())];
        std::erase(nodes, lost);
        const auto after = members::rendezvousOrder("relay", nodes, 3);
        for (const auto holder : before) {
            RC_ASSERT(holder == lost || std::find(after.begin(), after.end(), holder) != after.end());
        }
    });
}
