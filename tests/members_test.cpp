#include "support/simulatedfleet.h"
#include "support/story.h"

#include "members/rendezvous.h"

using namespace figpulley;
using members::Member;
using members::MemberStatus;

namespace
{
bool isAlive(const Member &member)
{
    return member.announcement.status == MemberStatus::Alive;
}

bool isDead(const Member &member)
{
    return member.announcement.status == MemberStatus::Dead;
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

Test(members, membership_within_one_zone)
{
    tests::Story story;
    tests::SimulatedFleet fleet(1);
    fill(fleet, 12, {"mineo"});
    story.section("twelve nodes that start at the same time with two seeds", [&] {
        fleet.run(10000);
        story.equal(fleet.countNodesWithLiveMembers(11), 12, "every node to know all others after 10 s");
        story.check(fleet.maxDatagramBytes <= members::maxMessageBytes, "no message above the size limit");
    });
    const auto target = fleet.cores.begin()->first;
    story.section("one node announces that it is leaving", [&] {
        auto &core = *fleet.cores[target];
        fleet.send(target, core.swim.announceLeaving(*core.board, true, tests::at(fleet.now), fleet.random));
        fleet.run(3000);
        story.equal(fleet.countNodesWhere(target, isLeaving), 11, "all other nodes to know within 3 s");
        fleet.send(target, core.swim.announceLeaving(*core.board, false, tests::at(fleet.now), fleet.random));
        fleet.run(3000);
        story.equal(fleet.countNodesWhere(target, isLeaving), 0, "no node to see it as leaving 3 s after it has returned");
    });
    story.section("one node fails", [&] {
        fleet.cores[target]->isUp = false;
        fleet.run(30000);
        story.equal(fleet.countNodesWhere(target, isAlive), 0, "no node to see it as alive after 30 s");
    });
    story.section("its VM is replaced by one whose clock is behind, so that the new incarnation is lower", [&] {
        fleet.startNode(target, "mineo", "motivi", 5);
        fleet.run(20000);
        story.equal(fleet.countNodesWhere(target, isAlive), 11, "all other nodes to see the replacement as alive");
        story.check(core::value(fleet.cores[target]->board->identity.incarnation) > 100,
                    "the replacement to raise its incarnation above the previous one");
    });
}

Test(members, paused_and_isolated_nodes)
{
    tests::Story story;
    tests::SimulatedFleet fleet(2);
    fill(fleet, 10, {"mineo"});
    fleet.run(15000);
    const auto target = fleet.cores.rbegin()->first;
    story.section("a node is paused for a minute", [&] {
        fleet.cores[target]->isUp = false;
        fleet.run(60000);
        fleet.cores[target]->isUp = true;
        fleet.run(20000);
        story.equal(fleet.countNodesWhere(target, isAlive), 9, "the others to see it as alive afterwards");
        story.equal(fleet.countNodesWithLiveMembers(9), 10, "every node to know all others");
    });
    story.section("a node is cut off from all others", [&] {
        fleet.isPartitioned = [&](const std::string &from, const std::string &to) { return from == target || to == target; };
        fleet.run(60000);
        const auto &state = fleet.cores[target]->board->membership.read();
        int dead = 0;
        for (const auto &[id, member] : state.members) {
            dead += isDead(member) ? 1 : 0;
        }
        story.check(state.isIsolated, "the node to consider itself isolated");
        story.equal(dead, 0, "the isolated node to declare no member dead");
        fleet.isPartitioned = nullptr;
        fleet.run(30000);
        story.equal(fleet.countNodesWithLiveMembers(9), 10, "every node to know all others after the connection is restored");
    });
}

Test(members, membership_across_zones)
{
    tests::Story story;
    tests::SimulatedFleet fleet(3);
    fill(fleet, 6, {"caltagirone", "mineo", "vizzini"});
    story.section("three zones with six nodes each", [&] {
        fleet.run(40000);
        story.equal(fleet.countNodesWithLiveMembers(17), 18, "every node to know all others after 40 s");
    });
    const auto zoneOf = [&](const std::string &address) { return fleet.cores[address]->board->identity.availabilityZone; };
    std::string vizzini;
    for (const auto &[address, core] : fleet.cores) {
        if (core->board->identity.availabilityZone == "vizzini") {
            vizzini = address;
        }
    }
    story.section("one zone is partitioned for two minutes, and one of its nodes fails meanwhile", [&] {
        fleet.isPartitioned = [&](const std::string &from, const std::string &to) {
            return (zoneOf(from) == "vizzini") != (zoneOf(to) == "vizzini");
        };
        fleet.cores[vizzini]->isUp = false;
        fleet.run(120000);
        story.equal(fleet.countNodesWhere(vizzini, isAlive), 12, "the nodes of the other zones to keep the failed node as alive");
    });
    story.section("the partition ends", [&] {
        fleet.isPartitioned = nullptr;
        fleet.run(60000);
        story.equal(fleet.countNodesWhere(vizzini, isAlive), 0, "no node to see the failed node as alive");
        story.equal(fleet.countNodesWithLiveMembers(16), 17, "every running node to know all other running nodes");
    });
    story.section("all nodes of a zone are replaced one by one", [&] {
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
        story.equal(fleet.countNodesWithLiveMembers(16), 17, "every running node to know all other running nodes");
    });
}

Test(members, no_live_member_is_declared_dead)
{
    tests::holds("without a failure no member is declared dead and all nodes converge", [] {
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

Test(members, decoder_accepts_any_bytes)
{
    tests::holds("any bytes decode to a message or are rejected", [](const std::string &bytes) {
        static_cast<void>(members::decodeSwimMessage(bytes));
        static_cast<void>(core::decodeEnvelope(bytes));
        static_cast<void>(core::decodeOutcome(bytes));
    });
    tests::holds("a mutated valid message decodes to a message or is rejected", [] {
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

Test(members, rendezvous_order_is_stable)
{
    tests::holds("the loss of a node reassigns only the roles that it held", [] {
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
