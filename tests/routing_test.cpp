#include "support/story.h"

#include "routing/chaintable.h"
#include "routing/routing.h"

#include <chrono>
#include <map>

using namespace figpulley;
using namespace std::chrono_literals;
using routing::AttemptEnd;

namespace
{
core::TimePoint after(core::Duration duration)
{
    return core::TimePoint {} + 1h + duration;
}

routing::Route routeTo(std::string name, std::string host, std::string prefix, std::vector<routing::SplitPart> parts)
{
    routing::Route route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    route.parts = std::move(parts);
    return route;
}

discovery::EndpointRecord endpointOf(std::string node, std::string service, std::string zone, int slots = 10)
{
    discovery::EndpointRecord record;
    record.node = std::move(node);
    record.id = "i-" + record.node;
    record.service = std::move(service);
    record.zone = std::move(zone);
    record.slots = slots;
    record.incarnation = 1;
    return record;
}

std::string pickOnce(const routing::EndpointPicker &picker, const discovery::Directory &directory, core::TimePoint now,
                     core::Random &random, const std::vector<std::string> &tried = {})
{
    const auto *endpoint = picker.pick(directory, {"motivi", "caltagirone", &tried, now}, random);
    return endpoint == nullptr ? std::string("none") : endpoint->record.node;
}
} // namespace

Test(routing, a_request_finds_its_route)
{
    tests::Story story;
    routing::RouteSet set;
    set.version = 7;
    set.routes = {routeTo("all", "a.example", "/", {{"motivi", 1}}), routeTo("deep", "a.example", "/x/y/", {{"commesse", 1}}),
                  routeTo("shallow", "a.example", "/x/", {{"bordure", 1}})};
    const routing::RouteTable table(set);
    const auto nameOf = [&](const char *host, const char *path) {
        const auto *route = table.match(host, path);
        return route == nullptr ? std::string("none") : route->name;
    };
    story.equal(nameOf("a.example", "/x/y/z"), std::string("deep"), "the longest prefix wins");
    story.equal(nameOf("A.Example:8080", "/x/z"), std::string("shallow"), "the host's case and port do not matter");
    story.equal(nameOf("a.example", "/x"), std::string("all"), "a prefix ends with its slash");
    story.equal(nameOf("b.example", "/"), std::string("none"), "another host has no route");
}

Test(routing, shares_of_a_split_are_exact)
{
    tests::holds("any weights, over any span of requests", [] {
        const auto first = *rc::gen::inRange(1, 100);
        const auto second = *rc::gen::inRange(1, 100);
        const auto requests = *rc::gen::inRange(1, 400);
        core::Random random(*rc::gen::arbitrary<std::uint64_t>());
        const auto route = routeTo("r", "a", "/", {{"one", double(first)}, {"two", double(second)}});
        routing::SplitPicker picker;
        int ones = 0;
        for (int at = 0; at < requests; ++at) {
            ones += picker.pick(route, random) == "one" ? 1 : 0;
        }
        const double expected = double(requests) * first / (first + second);
        RC_ASSERT(std::abs(ones - expected) <= 2.0);
    });
}

Test(routing, an_endpoint_is_chosen_by_room_and_zone)
{
    tests::Story story;
    core::Random random(1);
    discovery::Directory directory;
    const auto now = after(0s);
    directory.put(endpointOf("10.0.0.1:1", "motivi", "caltagirone"), 1, now);
    directory.put(endpointOf("10.0.0.2:1", "motivi", "mineo"), 2, now);
    directory.put(endpointOf("10.0.0.3:1", "commesse", "caltagirone"), 3, now);
    story.section("while there is room", [&] {
        const routing::EndpointPicker picker;
        for (int at = 0; at < 20; ++at) {
            story.equal(pickOnce(picker, directory, now, random), std::string("10.0.0.1:1"), "the caller's zone is preferred");
        }
    });
    story.section("a burst fills the caller's zone", [&] {
        routing::EndpointPicker picker;
        std::map<std::string, int> sent;
        for (int at = 0; at < 20; ++at) {
            const auto node = pickOnce(picker, directory, now, random);
            picker.sent(node);
            ++sent[node];
        }
        story.check(sent["10.0.0.1:1"] > sent["10.0.0.2:1"] && sent["10.0.0.2:1"] >= 6, "what exceeds its room goes to the other zone");
    });
    story.section("a node that cannot be reached", [&] {
        routing::EndpointPicker picker;
        picker.sent("10.0.0.1:1");
        picker.ended("10.0.0.1:1", AttemptEnd::Unreachable, std::nullopt, now);
        story.equal(pickOnce(picker, directory, now + 100ms, random), std::string("10.0.0.2:1"), "is left out");
        story.equal(pickOnce(picker, directory, now + 100ms, random, {"10.0.0.2:1"}), std::string("10.0.0.1:1"),
                    "but for a request that was refused elsewhere");
        story.equal(pickOnce(picker, directory, now + 2s, random), std::string("10.0.0.1:1"), "and tried again soon");
    });
    story.section("an endpoint that fails part of its requests while its heartbeats are good", [&] {
        routing::EndpointPicker picker;
        for (int at = 0; at < 10; ++at) {
            picker.sent("10.0.0.1:1");
            picker.ended("10.0.0.1:1", at % 2 == 0 ? AttemptEnd::Failed : AttemptEnd::Served, std::nullopt, now);
        }
        story.equal(pickOnce(picker, directory, now, random), std::string("10.0.0.2:1"), "is avoided");
    });
    story.section("an endpoint whose node tells that it is full", [&] {
        routing::EndpointPicker picker;
        picker.sent("10.0.0.1:1");
        picker.ended("10.0.0.1:1", AttemptEnd::Full, routing::EndpointLoad {10, 5, 10}, now);
        story.equal(pickOnce(picker, directory, now, random), std::string("10.0.0.2:1"), "is avoided");
        story.equal(pickOnce(picker, directory, now + 3s, random), std::string("10.0.0.1:1"), "until the report is old");
    });
}

Test(routing, repeats_stay_within_the_nodes_share)
{
    tests::Story story;
    const routing::RetryBudgetRules rules {0.2, 48, 10s};
    story.section("a node without requests", [&] {
        routing::RetryBudget budget(rules);
        int taken = 0;
        for (int at = 0; at < 100; ++at) {
            taken += budget.take("motivi", core::Rank(100), 16, after(at * 10ms)) ? 1 : 0;
        }
        story.check(taken * 16 <= 48, "all nodes together stay within the slack");
    });
    story.section("a deep service refuses half of all requests for a while", [&] {
        // Each chain makes five calls to the service, and needs all of them.
        routing::RetryBudget budget(rules);
        core::Random random(7);
        int urgent = 0;
        int urgentWhole = 0;
        int others = 0;
        int othersWhole = 0;
        for (int at = 0; at < 4000; ++at) {
            const auto now = after(at * 2ms);
            const bool isUrgent = at % 4 == 0;
            const auto rank = routing::rootRank(isUrgent ? 0 : 2, std::to_string(at));
            bool isWhole = true;
            for (int call = 0; call < 5 && isWhole; ++call) {
                budget.countRequest("bordure", false, now);
                while (core::uniform(random) < 0.55 && isWhole) {
                    isWhole = budget.take("bordure", rank, 16, now);
                }
            }
            const bool isSettled = now > after(2s);
            (isUrgent ? urgent : others) += isSettled ? 1 : 0;
            (isUrgent ? urgentWhole : othersWhole) += isSettled && isWhole ? 1 : 0;
        }
        // A chain needs 6 repeats on average, and the share pays for 180 a second: 30 of 125 urgent chains.
        story.check(urgentWhole * 6 > urgent, "the budget saves whole urgent chains");
        story.check(urgentWhole * others > 2 * othersWhole * urgent, "far more often than the others");
    });
    tests::holds("requests and repeats of a node never exceed its share in any window", [&] {
        routing::RetryBudget budget(rules);
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 100);
        std::vector<std::pair<core::TimePoint, bool>> events;
        auto now = after(0s);
        for (int at = 0; at < 300; ++at) {
            now += core::Duration(*rc::gen::inRange(0, 200000));
            const bool isRepeat = *rc::gen::arbitrary<bool>();
            if (!isRepeat) {
                budget.countRequest("motivi", false, now);
                events.emplace_back(now, false);
            } else if (budget.take("motivi", core::Rank(*rc::gen::inRange<std::uint32_t>(0, core::Rank::end)), nodes, now)) {
                events.emplace_back(now, true);
            }
        }
        for (const auto &[end, unused] : events) {
            double requests = 0;
            double repeats = 0;
            for (const auto &[when, isRepeat] : events) {
                const bool isInside = when <= end && end - when < rules.window;
                (isRepeat ? repeats : requests) += isInside ? 1 : 0;
            }
            // The bound also counts the requests of the window before.
            double before = 0;
            for (const auto &[when, isRepeat] : events) {
                before += !isRepeat && end - when >= rules.window && end - when < 2 * rules.window ? 1 : 0;
            }
            RC_ASSERT(repeats <= rules.ratio * std::max(requests, before) + rules.slack / double(nodes));
        }
    });
}

Test(routing, calls_of_a_run_go_with_their_root)
{
    tests::Story story;
    routing::ChainTable chains;
    const auto root = chains.contextOf("", "r1", 2);
    story.section("a client's request, though it comes from the address of the endpoint", [&] {
        story.check(!root.isNested, "is a root");
        story.check(root.rank == routing::rootRank(2, "r1"), "with the rank of its route");
    });
    chains.begin("r1", {root.rank, true, false});
    story.section("a call of its run", [&] {
        const auto call = chains.contextOf("r1", "r1.c1", 0);
        story.check(call.isNested, "is nested");
        story.check(call.rank == root.rank, "keeps the rank of the root, whatever its own route says");
        story.check(call.isRepeat, "and repeats what the run repeats");
    });
    story.section("a call of a run that began before this process", [&] {
        const auto call = chains.contextOf("r0", "r0.c1", 1);
        story.check(call.isNested, "is nested too, since a run waits for it");
        story.check(call.rank == routing::rootRank(1, "r0.c1"), "with the rank of its own route");
    });
}

Test(routing, clients_that_come_back_are_known)
{
    tests::Story story;
    routing::PatienceHistory history;
    story.equal(history.spent("look", 6s, after(0s)), core::Duration {}, "a first attempt has spent nothing");
    story.equal(history.spent("look", 5980ms, after(1s)), core::Duration {}, "nor one whose way took a little longer");
    story.equal(history.spent("look", 4500ms, after(2s)), core::Duration(1500ms), "one that has less patience left has spent the rest");
    story.equal(history.spent("brief", 1s, after(2s)), core::Duration {}, "each route has its own");
    story.section("the clients' patience has become shorter", [&] {
        static_cast<void>(history.spent("look", 3s, after(15s)));
        story.equal(history.spent("look", 3s, after(30s)), core::Duration {}, "the longer one is forgotten after a while");
    });
}

// Endpoints of a deep service refuse 55 of 100 requests by chance, and a chain makes five calls to it.
Test(routing, a_chain_passes_endpoints_that_refuse_by_chance)
{
    tests::Story story;
    using routing::AttemptPlan;
    core::Random random(11);
    int whole = 0;
    constexpr int chains = 2000;
    for (int chain = 0; chain < chains; ++chain) {
        bool isWhole = true;
        for (int call = 0; call < 5 && isWhole; ++call) {
            AttemptPlan plan(true, 2);
            while (isWhole && core::uniform(random) < 0.55) {
                isWhole = plan.refusedByEndpoint() == AttemptPlan::Next::Paid;
            }
        }
        whole += isWhole ? 1 : 0;
    }
    story.check(whole > chains * 95 / 100, "a chain that the budget pays for is hardly ever lost");
    story.section("a request that runs once at most", [&] {
        AttemptPlan plan(false, 3);
        story.equal(plan.refusedOnTheWay(), AttemptPlan::Next::Free, "is sent again after a node's refusal");
        story.equal(plan.refusedByEndpoint(), AttemptPlan::Next::Paid, "and after an endpoint's");
        story.equal(plan.lost(), AttemptPlan::Next::GiveUp, "but never after it may have run");
        story.equal(plan.refusedOnTheWay(), AttemptPlan::Next::GiveUp, "whatever comes later");
    });
    story.section("an idempotent request", [&] {
        AttemptPlan plan(true, 2);
        story.equal(plan.lost(), AttemptPlan::Next::Paid, "is repeated after it may have run");
        story.equal(plan.lost(), AttemptPlan::Next::GiveUp, "on as many endpoints as its route allows");
    });
    story.section("nodes that refuse", [&] {
        AttemptPlan plan(true, 2);
        int asked = 1;
        while (plan.refusedOnTheWay() == AttemptPlan::Next::Free) {
            ++asked;
        }
        story.equal(asked, 4, "are few before the client is told to come back");
    });
}
