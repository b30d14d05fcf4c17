#include "support/story.h"

#include "node/nodemetrics.h"
#include "routing/callprofile.h"
#include "routing/chaintable.h"
#include "routing/routing.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

using namespace figpulley;
using namespace std::chrono_literals;
using routing::AttemptOutcome;

namespace
{
core::TimePoint after(core::Duration duration)
{
    return core::TimePoint {} + 1h + duration;
}

routing::Route routeTo(std::string name, std::string host, std::string prefix, std::vector<routing::WeightedService> parts)
{
    routing::Route route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    route.split = std::move(parts);
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

Test(routing, the_longest_matching_prefix_of_the_host_wins)
{
    tests::Story story;
    routing::RouteSet set;
    set.version = 7;
    set.routes = {routeTo("all", "a.example", "/", {{"motivi", 1}}), routeTo("deep", "a.example", "/x/y/", {{"commesse", 1}}),
                  routeTo("shallow", "a.example", "/x/", {{"bordure", 1}})};
    const routing::RouteTable table(set);
    const auto nameOf = [&](const char *host, const char *path) {
        const auto route = table.match(host, path);
        return route == nullptr ? std::string("none") : route->name;
    };
    story.equal(nameOf("a.example", "/x/y/z"), std::string("deep"), "the route with the longest matching prefix");
    story.equal(nameOf("A.Example:8080", "/x/z"), std::string("shallow"), "the host to match regardless of case and port");
    story.equal(nameOf("a.example", "/x"), std::string("all"), "a prefix not to match a path without its final slash");
    story.equal(nameOf("b.example", "/"), std::string("none"), "no route for an unknown host");
}

Test(routing, splits_follow_their_weights)
{
    tests::holds("the requests per service follow any weights over any number of requests", [] {
        const auto first = *rc::gen::inRange(1, 100);
        const auto second = *rc::gen::inRange(1, 100);
        const auto requests = *rc::gen::inRange(1, 400);
        core::Random random(*rc::gen::arbitrary<std::uint64_t>());
        const auto route = routeTo("r", "a", "/", {{"one", double(first)}, {"two", double(second)}});
        routing::SplitPicker picker;
        int firstCount = 0;
        for (int at = 0; at < requests; ++at) {
            firstCount += picker.pick(route, random) == "one" ? 1 : 0;
        }
        const double expected = double(requests) * first / (first + second);
        RC_ASSERT(std::abs(firstCount - expected) <= 2.0);
    });
}

Test(routing, the_endpoint_with_the_lowest_cost_is_chosen)
{
    tests::Story story;
    core::Random random(1);
    discovery::Directory directory;
    const auto now = after(0s);
    directory.put(endpointOf("10.0.0.1:1", "motivi", "caltagirone"), {1, 1}, now);
    directory.put(endpointOf("10.0.0.2:1", "motivi", "mineo"), {1, 2}, now);
    directory.put(endpointOf("10.0.0.3:1", "commesse", "caltagirone"), {1, 3}, now);
    story.section("all endpoints are idle", [&] {
        const routing::EndpointPicker picker;
        for (int at = 0; at < 20; ++at) {
            story.equal(pickOnce(picker, directory, now, random), std::string("10.0.0.1:1"), "the endpoint in the caller's zone");
        }
    });
    story.section("a burst exceeds the capacity of the caller's zone", [&] {
        routing::EndpointPicker picker;
        std::map<std::string, int> sent;
        for (int at = 0; at < 20; ++at) {
            const auto node = pickOnce(picker, directory, now, random);
            picker.recordSent(node);
            ++sent[node];
        }
        story.check(sent["10.0.0.1:1"] > sent["10.0.0.2:1"] && sent["10.0.0.2:1"] >= 6,
                    "most requests in the caller's zone and the excess in the other zone");
    });
    story.section("a node is unreachable", [&] {
        routing::EndpointPicker picker;
        picker.recordSent("10.0.0.1:1");
        picker.recordOutcome("10.0.0.1:1", AttemptOutcome::Unreachable, std::nullopt, now);
        story.equal(pickOnce(picker, directory, now + 100ms, random), std::string("10.0.0.2:1"), "the unreachable node to be avoided");
        story.equal(pickOnce(picker, directory, now + 100ms, random, {"10.0.0.2:1"}), std::string("10.0.0.1:1"),
                    "the unreachable node if all others are excluded");
        story.equal(pickOnce(picker, directory, now + 2s, random), std::string("10.0.0.1:1"),
                    "the node to be chosen again after its suspension");
    });
    story.section("an endpoint fails half of its requests and still sends heartbeats", [&] {
        routing::EndpointPicker picker;
        for (int at = 0; at < 10; ++at) {
            picker.recordSent("10.0.0.1:1");
            picker.recordOutcome("10.0.0.1:1", at % 2 == 0 ? AttemptOutcome::Failed : AttemptOutcome::Served, std::nullopt, now);
        }
        story.equal(pickOnce(picker, directory, now, random), std::string("10.0.0.2:1"), "the failing endpoint to be avoided");
    });
    story.section("a node reports that its endpoint is full", [&] {
        routing::EndpointPicker picker;
        picker.recordSent("10.0.0.1:1");
        picker.recordOutcome("10.0.0.1:1", AttemptOutcome::Full, routing::EndpointLoad {10, 5, 10}, now);
        story.equal(pickOnce(picker, directory, now, random), std::string("10.0.0.2:1"), "the full endpoint to be avoided");
        story.equal(pickOnce(picker, directory, now + 3s, random), std::string("10.0.0.1:1"),
                    "the endpoint to be chosen again once the report is outdated");
    });
}

// Guards against requests that go to endpoints without allowance while others have room, and against attempts at leaving endpoints.
Test(routing, conditions_of_endpoints_decide_their_choice)
{
    tests::Story story;
    core::Random random(1);
    discovery::Directory directory;
    const auto now = after(0s);
    const auto own = endpointOf("10.0.0.1:1", "motivi", "caltagirone");
    directory.put(own, {1, 1}, now);
    directory.put(endpointOf("10.0.0.2:1", "motivi", "mineo"), {1, 2}, now);
    const auto &known = *directory.find("10.0.0.1:1");
    const auto condition = [&](std::optional<double> limit, double utilization, core::Duration availableIn, bool isLeaving) {
        return routing::EndpointCondition {own.id, own.incarnation, limit, utilization, availableIn, isLeaving};
    };
    story.section("the limit of the endpoint in the caller's zone is used up", [&] {
        routing::EndpointPicker picker;
        story.check(picker.recordCondition("10.0.0.1:1", condition(10, 1, 0s, false), now), "the limit to be new");
        story.check(!picker.recordCondition("10.0.0.1:1", condition(10, 1.2, 0s, false), now), "the same limit to change nothing");
        story.equal(pickOnce(picker, directory, now, random), std::string("10.0.0.2:1"), "the endpoint that has room");
        story.check(picker.knownCondition(known) != nullptr && picker.knownCondition(known)->rateLimit == 10.0, "the limit to be known");
        story.equal(pickOnce(picker, directory, now + 2s, random), std::string("10.0.0.1:1"), "the endpoint once the report is outdated");
    });
    story.section("a small limit allows the next request after some time", [&] {
        routing::EndpointPicker picker;
        picker.recordCondition("10.0.0.1:1", condition(0.3, 0, 3s, false), now);
        story.equal(pickOnce(picker, directory, now + 2900ms, random), std::string("10.0.0.2:1"), "the endpoint that has room");
        story.equal(pickOnce(picker, directory, now + 3100ms, random), std::string("10.0.0.1:1"), "the endpoint when the time is over");
    });
    story.section("a response states no limit any more", [&] {
        routing::EndpointPicker picker;
        picker.recordCondition("10.0.0.1:1", condition(10, 4, 1s, false), now);
        story.check(picker.recordCondition("10.0.0.1:1", std::nullopt, now), "the end of the limit to be a change");
        story.equal(pickOnce(picker, directory, now, random), std::string("10.0.0.1:1"), "the endpoint in the caller's zone");
    });
    story.section("an endpoint is leaving", [&] {
        routing::EndpointPicker picker;
        picker.recordCondition("10.0.0.1:1", condition(std::nullopt, 0, 0s, true), now);
        picker.recordCondition("10.0.0.1:1", std::nullopt, now);
        picker.recordCondition("10.0.0.1:1", condition(5, 0, 0s, false), now);
        story.equal(pickOnce(picker, directory, now + 1h, random), std::string("10.0.0.2:1"), "another endpoint at any later time");
        story.equal(pickOnce(picker, directory, now + 1h, random, {"10.0.0.2:1"}), std::string("none"),
                    "no endpoint if all others are excluded");
        auto next = own;
        next.incarnation += 1;
        directory.put(next, {1, 3}, now);
        story.equal(pickOnce(picker, directory, now + 1h, random), std::string("10.0.0.1:1"), "the next incarnation");
        story.check(picker.knownCondition(*directory.find("10.0.0.1:1")) == nullptr, "nothing to be known about the next incarnation");
    });
}

Test(routing, retries_stay_within_the_budget_of_the_node)
{
    tests::Story story;
    const routing::RetryBudgetRules rules {0.2, 48, 10s};
    story.section("a node has no requests", [&] {
        routing::RetryBudget budget(rules);
        int acquired = 0;
        for (int at = 0; at < 100; ++at) {
            acquired += budget.tryAcquire("motivi", {core::Rank(100), 0}, 16, after(at * 10ms)) ? 1 : 0;
        }
        story.check(acquired * 16 <= 48, "the retries of 16 such nodes to stay within the slack");
    });
    story.section("a service at the end of chains refuses 55% of its requests", [&] {
        // Each chain makes five calls to the service and fails if one of them fails.
        routing::RetryBudget budget(rules);
        core::Random random(7);
        int highPriority = 0;
        int highPriorityCompleted = 0;
        int others = 0;
        int othersCompleted = 0;
        for (int at = 0; at < 4000; ++at) {
            const auto now = after(at * 2ms);
            const bool isHighPriority = at % 4 == 0;
            const auto rank = routing::rootRank(isHighPriority ? 0 : 2, std::to_string(at));
            bool isComplete = true;
            for (int call = 0; call < 5 && isComplete; ++call) {
                budget.countRequest("bordure", now);
                while (core::uniform(random) < 0.55 && isComplete) {
                    isComplete = budget.tryAcquire("bordure", {rank, call}, 16, now);
                }
            }
            const bool isSettled = now > after(2s);
            (isHighPriority ? highPriority : others) += isSettled ? 1 : 0;
            (isHighPriority ? highPriorityCompleted : othersCompleted) += isSettled && isComplete ? 1 : 0;
        }
        // A chain needs 6 retries on average. The budget allows 180 per second, enough for 30 of 125 high-priority chains.
        story.check(highPriorityCompleted * 6 > highPriority, "more than a sixth of the high-priority chains to complete");
        story.check(highPriorityCompleted * others > 2 * othersCompleted * highPriority,
                    "high-priority chains to complete more than twice as often as the others");
    });
    tests::holds("the retries of a node never exceed its part of the budget in any window", [&] {
        routing::RetryBudget budget(rules);
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 100);
        std::vector<std::pair<core::TimePoint, bool>> events;
        auto now = after(0s);
        for (int at = 0; at < 300; ++at) {
            now += core::Duration(*rc::gen::inRange(0, 200000));
            const bool isRetry = *rc::gen::arbitrary<bool>();
            if (!isRetry) {
                budget.countRequest("motivi", now);
                events.emplace_back(now, false);
            } else if (budget.tryAcquire("motivi",
                                         {core::Rank(*rc::gen::inRange<std::uint32_t>(0, core::Rank::end)), *rc::gen::inRange(0, 6)}, nodes,
                                         now)) {
                events.emplace_back(now, true);
            }
        }
        for (const auto &[end, unused] : events) {
            double requests = 0;
            double retries = 0;
            for (const auto &[when, isRetry] : events) {
                const bool isInside = when <= end && end - when < rules.window;
                (isRetry ? retries : requests) += isInside ? 1 : 0;
            }
            // The bound also covers the requests of the previous window.
            double before = 0;
            for (const auto &[when, isRetry] : events) {
                before += !isRetry && end - when >= rules.window && end - when < 2 * rules.window ? 1 : 0;
            }
            RC_ASSERT(retries <= rules.ratio * std::max(requests, before) + rules.slack / double(nodes));
        }
    });
}

// Guards against repeated requests whose runs make their calls again without a bound (review/14). Pattern: most nodes of a service are
// killed at once, and the requests that ran there are repeated at the one that is left; each run calls a service behind sixteen times.
Test(routing, calls_of_repeated_runs_stay_within_the_budget_of_the_service_behind)
{
    tests::Story story;
    const routing::RetryBudgetRules rules {0.2, 48, 10s};
    constexpr std::size_t nodes = 5;
    constexpr int callsPerRun = 16;
    constexpr core::Duration interval = 500ms; // between two requests at a node
    routing::RetryBudget budget(rules);
    routing::ChainTable chains;
    int requests = 0;
    const auto run = [&](const std::string &id, core::TimePoint now, bool isRepeat, routing::CallReservation reservation) {
        chains.addRun(id, {core::Rank(100), isRepeat, false}, std::move(reservation));
        int made = 0;
        bool isComplete = true;
        for (int call = 0; call < callsPerRun && isComplete; ++call) {
            const bool isAcquired = chains.beginNestedCall(id, "bordure");
            if (isRepeat) {
                isComplete = isAcquired || budget.tryAcquire("bordure", {core::Rank(100), call}, nodes, now);
            } else {
                budget.countRequest("bordure", now);
                ++requests;
            }
            made += isComplete ? 1 : 0;
        }
        chains.removeRun(id, isComplete);
        return made;
    };
    auto now = after(0s);
    for (; now < after(10s); now += interval) {
        run(std::to_string(now.time_since_epoch().count()), now, false, {});
    }
    int repeats = 0;
    int refused = 0;
    int failed = 0;
    for (int repeat = 0; repeat < 23; ++repeat) {
        auto reservation = budget.tryReserve(chains.expectedCalls(), nodes, now);
        if (!reservation) {
            ++refused;
            continue;
        }
        const auto made = run("repeat-" + std::to_string(repeat), now, true, std::move(*reservation));
        repeats += made;
        failed += made < callsPerRun ? 1 : 0;
    }
    story.check(repeats <= rules.ratio * requests + rules.slack / nodes, "the repeated calls to stay within this node's part");
    story.check(repeats >= 2 * callsPerRun, "the part to be used");
    story.check(refused > 0, "further repeated requests to be refused before they run");
    story.equal(failed, 0, "no run to fail because a call of it finds no budget");
    story.section("a run that makes fewer calls than expected", [&] {
        routing::RetryBudget used(rules);
        auto reservation = used.tryReserve({{"bordure", 6}}, 1, now);
        story.check(reservation.has_value(), "its calls to be acquired");
        story.check(reservation && reservation->take("bordure") && !reservation->take("motivi"), "calls of the service alone to be taken");
        reservation.reset();
        int acquired = 0;
        while (used.tryAcquire("bordure", {core::Rank(100), 0}, 1, now)) {
            ++acquired;
        }
        routing::RetryBudget fresh(rules);
        int allowed = 0;
        while (fresh.tryAcquire("bordure", {core::Rank(100), 0}, 1, now)) {
            ++allowed;
        }
        story.equal(acquired, allowed - 1, "what it has not used to be free again");
    });
    story.section("a run that calls two services, of which one has no budget left", [&] {
        routing::RetryBudget other(rules);
        story.check(!other.tryReserve({{"bordure", 1}, {"motivi", 100}}, nodes, now), "nothing to be acquired");
        story.check(other.tryReserve({{"bordure", 7}}, nodes, now).has_value(), "the other service's budget to be whole");
    });
    story.section("how many calls a run is expected to make", [&] {
        routing::CallProfile profile;
        story.check(profile.expectedCalls().empty(), "none before the first run");
        for (int number = 0; number < 200; ++number) {
            profile.addRun({{"bordure", 4}, {"archivio", number % 3 == 0 ? 1 : 0}});
        }
        const auto expected = profile.expectedCalls();
        story.equal(expected.at("bordure"), 4, "the mean of the runs");
        story.equal(expected.at("archivio"), 1, "one for a service that a third of them calls");
        for (int number = 0; number < 400; ++number) {
            profile.addRun({{"bordure", 4}});
        }
        story.check(!profile.expectedCalls().contains("archivio"), "a service that is called no more to be left out");
    });
}

Test(routing, nested_calls_inherit_the_rank_of_the_root_call)
{
    tests::Story story;
    routing::ChainTable chains;
    const auto root = chains.contextOf("", "r1", 2);
    story.section("a client's request arrives from the address of the endpoint", [&] {
        story.check(!root.isNested, "a root call");
        story.check(root.rank == routing::rootRank(2, "r1"), "the rank of the request's route");
    });
    chains.addRun("r1", {root.rank, true, false});
    story.section("the run of the request makes a call", [&] {
        const auto call = chains.contextOf("r1", "r1.c1", 0);
        story.check(call.isNested, "a nested call");
        story.check(call.rank == root.rank, "the rank of the root call instead of that of the call's own route");
        story.check(call.isRetry, "the call to count as a retry, since its run does");
    });
    story.section("a run that began before this process makes a call", [&] {
        const auto call = chains.contextOf("r0", "r0.c1", 1);
        story.check(call.isNested, "a nested call, since its request names a parent");
        story.check(call.rank == routing::rootRank(1, "r0.c1"), "the rank of the call's own route");
    });
}

Test(routing, a_shorter_remaining_timeout_identifies_a_retry)
{
    tests::Story story;
    routing::ClientTimeoutHistory history;
    story.equal(history.estimateTimeSpent("look", 6s, after(0s)), core::Duration {}, "no time spent before a first attempt");
    story.equal(history.estimateTimeSpent("look", 5980ms, after(1s)), core::Duration {},
                "no time spent if only the network latency was higher");
    story.equal(history.estimateTimeSpent("look", 4500ms, after(2s)), core::Duration(1500ms),
                "the difference to the full client timeout as the time spent");
    story.equal(history.estimateTimeSpent("brief", 1s, after(2s)), core::Duration {}, "each route to have a client timeout of its own");
    story.section("the clients' timeout has become shorter", [&] {
        static_cast<void>(history.estimateTimeSpent("look", 3s, after(15s)));
        story.equal(history.estimateTimeSpent("look", 3s, after(30s)), core::Duration {}, "the longer timeout to expire after two windows");
    });
}

// Guards against too few attempts per call: endpoints refuse 55% of the requests at random, and a chain fails if one of its five calls
// fails.
Test(routing, chains_complete_despite_random_refusals)
{
    tests::Story story;
    using routing::AttemptPlan;
    core::Random random(11);
    int completed = 0;
    constexpr int chains = 2000;
    for (int chain = 0; chain < chains; ++chain) {
        bool isComplete = true;
        for (int call = 0; call < 5 && isComplete; ++call) {
            AttemptPlan plan(true, 2);
            while (isComplete && core::uniform(random) < 0.55) {
                isComplete = plan.recordEndpointRefusal() == AttemptPlan::Next::FromBudget;
            }
        }
        completed += isComplete ? 1 : 0;
    }
    story.check(completed > chains * 95 / 100, "more than 95% of the chains to complete if the budget allows every retry");
    story.section("a request is not idempotent", [&] {
        AttemptPlan plan(false, 3);
        story.equal(plan.recordNodeRefusal(), AttemptPlan::Next::WithoutBudget,
                    "another attempt without the budget after the refusal of a node");
        story.equal(plan.recordEndpointRefusal(), AttemptPlan::Next::FromBudget,
                    "another attempt from the budget after the refusal of an endpoint");
        story.equal(plan.recordPossibleRun(), AttemptPlan::Next::GiveUp, "no further attempt after it may have run");
        story.equal(plan.recordNodeRefusal(), AttemptPlan::Next::GiveUp, "no further attempt after a later refusal");
    });
    story.section("a request is idempotent", [&] {
        AttemptPlan plan(true, 2);
        story.equal(plan.recordPossibleRun(), AttemptPlan::Next::FromBudget, "a retry from the budget after it may have run");
        story.equal(plan.recordPossibleRun(), AttemptPlan::Next::GiveUp, "no further attempt after the maximum number of runs");
    });
    story.section("every node refuses the request", [&] {
        AttemptPlan plan(true, 2);
        int attempts = 1;
        while (plan.recordNodeRefusal() == AttemptPlan::Next::WithoutBudget) {
            ++attempts;
        }
        story.equal(attempts, 4, "four attempts before the client is told to retry later");
    });
}

// Guards against requests in flight that hold all routes of every version of a large configuration under which one of them has arrived.
Test(routing, request_in_flight_holds_its_route_and_not_the_whole_table)
{
    tests::Story story;
    routing::RouteSet set;
    for (int number = 0; number < 1000; ++number) {
        routing::Route route;
        route.host = "a.example";
        route.prefix = "/path-" + std::to_string(number) + "/";
        route.name = "r-" + std::to_string(number);
        set.routes.push_back(route);
    }
    auto table = std::make_shared<const routing::RouteTable>(set);
    const auto held = table->match("a.example", "/path-7/x");
    const std::weak_ptr<const routing::Route> other = table->match("a.example", "/path-8/x");
    const std::weak_ptr<const routing::RouteTable> replaced = table;
    table.reset();
    story.check(replaced.expired() && other.expired(), "the replaced table and its other routes to be released");
    story.equal(held->name, std::string("r-7"), "the route of the request to stay");
}

// Guards against memory that grows with the routes of all earlier configurations.
Test(routing, state_of_removed_routes_is_forgotten)
{
    tests::Story story;
    routing::SplitPicker splits;
    routing::ClientTimeoutHistory history;
    node::NodeMetrics metrics;
    core::Random random {1};
    constexpr int versions = 1000;
    for (int version = 0; version < versions; ++version) {
        routing::Route route;
        route.name = "r-" + std::to_string(version);
        route.split = {{"a", 1}, {"b", 1}};
        static_cast<void>(splits.pick(route, random));
        static_cast<void>(history.estimateTimeSpent(route.name, 1s, core::TimePoint {} + 1h));
        metrics.countCall("a", route.name, "0", core::ErrorKind::None, 200, 5ms);
    }
    metrics.countCall("", "", "", core::ErrorKind::NoRoute, 404, 1ms);
    const auto before = metrics.exposition().size();
    const std::unordered_set<std::string> configured {"r-7", "r-999"};
    splits.retain(configured);
    history.retain(configured);
    metrics.retainRoutes(configured);
    story.check(splits.size() == 2 && history.size() == 2, "only the configured routes to have state");
    story.check(metrics.exposition().size() < before / 100, "the series of removed routes to be gone");
    story.check(metrics.exposition().find("route=\"r-999\"") != std::string::npos, "those of configured routes to stay");
    story.check(metrics.exposition().find("no-route") != std::string::npos, "those without a route to stay");
    metrics.countCall("a", "r-5", "0", core::ErrorKind::None, 200, 5ms);
    story.equal(metrics.countedRoutes(), 4U, "a late call of a removed route to be counted again");
}
