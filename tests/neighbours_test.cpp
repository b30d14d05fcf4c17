#include "support/story.h"

#include "discovery/discovery.h"
#include "mesh/neighbourcontacts.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

using namespace figpulley;
using namespace std::chrono_literals;
using discovery::EndpointState;

namespace
{
struct Member
{
    std::string node;
    std::string zone;
    EndpointState state = EndpointState::Ready;
};

std::string nodeOf(int number)
{
    return fmt::format("10.0.{}.{}:8300", number / 250, number % 250 + 1);
}

discovery::Directory makeDirectory(const std::vector<Member> &members)
{
    discovery::Directory directory;
    std::uint64_t revision = 0;
    for (const auto &member : members) {
        discovery::EndpointRecord record;
        record.node = member.node;
        record.id = "i-" + member.node;
        record.service = "motivi";
        record.zone = member.zone;
        record.state = member.state;
        record.incarnation = 1;
        directory.put(record, {1, ++revision}, core::TimePoint {} + 1h);
    }
    return directory;
}

std::vector<Member> anyMembers()
{
    std::vector<Member> members;
    const auto count = *rc::gen::inRange(1, 40);
    const auto zones = *rc::gen::inRange(1, 5);
    for (int number = 0; number < count; ++number) {
        const auto state = *rc::gen::element(EndpointState::Ready, EndpointState::Ready, EndpointState::Silent, EndpointState::Gone);
        members.push_back({nodeOf(number), fmt::format("zone-{}", *rc::gen::inRange(0, zones)), state});
    }
    return members;
}
} // namespace

Test(neighbours, successors_hold_what_a_node_must_not_forget)
{
    tests::holds("a node has two successors and one in its zone, none of them itself or gone", [] {
        const auto members = anyMembers();
        const auto directory = makeDirectory(members);
        for (const auto &member : members) {
            const auto successors = discovery::selectSuccessors(directory, member.node, member.zone);
            const auto isEligible = [&](const Member &other) { return other.node != member.node && other.state != EndpointState::Gone; };
            const auto others = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), isEligible));
            RC_ASSERT(std::set<std::string>(successors.begin(), successors.end()).size() == successors.size());
            RC_ASSERT(successors.size() >= std::min<std::size_t>(2, others));
            bool hasZone = false;
            for (const auto &successor : successors) {
                const auto *known = directory.find(successor);
                RC_ASSERT(successor != member.node && known->record.state != EndpointState::Gone);
                hasZone = hasZone || known->record.zone == member.zone;
            }
            const bool mayHaveZone = std::any_of(members.begin(), members.end(),
                                                 [&](const Member &other) { return isEligible(other) && other.zone == member.zone; });
            RC_ASSERT(hasZone == mayHaveZone);
        }
    });
    tests::holds("the predecessors of a node are those that have it as a successor", [] {
        const auto members = anyMembers();
        const auto directory = makeDirectory(members);
        for (const auto &member : members) {
            std::set<std::string> predecessors;
            for (const auto *known : discovery::selectPredecessors(directory, member.node)) {
                predecessors.insert(known->record.node);
            }
            std::set<std::string> expected;
            for (const auto &other : members) {
                const auto successors = discovery::selectSuccessors(directory, other.node, other.zone);
                if (std::find(successors.begin(), successors.end(), member.node) != successors.end()) {
                    expected.insert(other.node);
                }
            }
            RC_ASSERT(predecessors == expected);
        }
    });
}

Test(neighbours, greetings_are_read_back)
{
    tests::Story story;
    const mesh::ContactGreeting greeting {"10.0.0.1:8300", 7};
    story.check(mesh::decodeContactGreeting(mesh::encode(greeting)) == greeting, "a greeting to be read back");
    for (const auto *text : {"", "10.0.0.1:8300;", "10.0.0.1;7;", "10.0.0.1:8300;x;", "10.0.0.1:8300;7"}) {
        story.check(!mesh::decodeContactGreeting(text), std::string("none to be read from ") + text);
    }
}

// Guards against a node that has to keep contacts with more of the others the larger the fleet is.
Test(neighbours, contacts_of_a_node_do_not_grow_with_the_fleet)
{
    tests::Story story;
    std::vector<Member> members;
    constexpr int fleet = 1000;
    for (int number = 0; number < fleet; ++number) {
        members.push_back({nodeOf(number), fmt::format("zone-{}", number % 26)});
    }
    const auto directory = makeDirectory(members);
    std::size_t contacts = 0;
    for (const auto &member : members) {
        contacts += discovery::selectPredecessors(directory, member.node).size();
    }
    story.check(contacts <= 3U * fleet, "three contacts a node on average");
}
