#include "support/story.h"

#include "gate/gate.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>

using namespace figpulley;
using namespace std::chrono_literals;
using core::ErrorKind;
using gate::SlotDecision;

namespace
{
core::TimePoint after(core::Duration duration)
{
    return core::TimePoint {} + 1h + duration;
}

gate::QueuedRequest requestOf(std::uint64_t id, int priority, core::TimePoint now, bool isNested = false)
{
    gate::QueuedRequest request;
    request.entry = core::EntryId {id};
    request.rank = core::Rank::of(7U - static_cast<std::uint32_t>(priority), "");
    request.isNested = isNested;
    request.arrived = now;
    request.target = now + 1s;
    request.deadline = now + 5s;
    return request;
}
} // namespace

Test(gate, waiting_requests_run_in_priority_order)
{
    tests::Story story;
    gate::SlotQueue queue;
    queue.setSlots(2);
    const auto now = after(0s);
    story.equal(queue.offer(requestOf(1, 2, now), now).kind, SlotDecision::Kind::Run, "the first request to run");
    story.equal(queue.offer(requestOf(2, 2, now), now).kind, SlotDecision::Kind::Run, "the second request to run");
    story.equal(queue.offer(requestOf(3, 2, now), now).kind, SlotDecision::Kind::Wait, "a lookup to wait while all slots are taken");
    story.equal(queue.offer(requestOf(4, 0, now), now).kind, SlotDecision::Kind::Wait, "a booking to wait while all slots are taken");
    story.equal(queue.offer(requestOf(5, 2, now, true), now).kind, SlotDecision::Kind::Wait,
                "a nested call of a lookup to wait while all slots are taken");
    auto next = queue.finish({false, 50ms, {}, 1s}, after(50ms));
    story.equal(core::value(next.at(0).entry), 4U, "the booking to run first, since its priority is higher");
    next = queue.finish({false, 50ms, {}, 1s}, after(60ms));
    story.equal(core::value(next.at(0).entry), 5U, "the nested call to run before the root call of the same priority");
    next = queue.finish({false, 50ms, {}, 1s}, after(70ms));
    story.equal(core::value(next.at(0).entry), 3U, "the lookup to run last");
    story.equal(queue.waiting(), 0, "no request to wait any longer");
    story.equal(queue.running(), 2, "both slots to be taken");
}

Test(gate, requests_with_too_long_an_expected_wait_are_refused)
{
    tests::Story story;
    gate::SlotQueue queue;
    queue.setSlots(1);
    const auto now = after(0s);
    static_cast<void>(queue.offer(requestOf(1, 1, now), now));
    static_cast<void>(queue.finish({false, 400ms, {}, 1s}, after(400ms)));
    static_cast<void>(queue.offer(requestOf(2, 1, after(400ms)), after(400ms)));
    story.equal(queue.offer(requestOf(3, 1, after(400ms)), after(400ms)).kind, SlotDecision::Kind::Wait,
                "a request that can run in time to wait");
    const auto refused = queue.offer(requestOf(4, 1, after(400ms)), after(400ms));
    story.equal(refused.kind, SlotDecision::Kind::Refuse, "a request that cannot run in time to be refused at once");
    story.equal(refused.refusal, ErrorKind::Overloaded, "overload as the reason of the refusal");
    story.check(refused.retryAfter >= 400ms, "a retry-after time of at least one mean run");
    const auto expired = queue.expire(after(5s));
    story.equal(expired.size(), 1U, "the waiting request to be refused after its wait limit");
    story.equal(expired.front().refusal, ErrorKind::QueueTimeout, "a queue timeout as the reason of the refusal");
}

Test(gate, abandoned_and_cleared_requests_do_not_run)
{
    tests::Story story;
    gate::SlotQueue queue;
    queue.setSlots(1);
    const auto now = after(0s);
    static_cast<void>(queue.offer(requestOf(1, 1, now), now));
    static_cast<void>(queue.offer(requestOf(2, 1, now), now));
    static_cast<void>(queue.offer(requestOf(3, 1, now), now));
    story.check(queue.abandon(core::EntryId {2}), "a waiting request to be removed when its caller disconnects");
    story.check(!queue.abandon(core::EntryId {1}), "a running request not to be found among the waiting ones");
    const auto refused = queue.refuseAll(ErrorKind::NotServing);
    story.equal(refused.size(), 1U, "the only waiting request to be refused when the endpoint stops serving");
    story.equal(core::value(refused.front().entry), 3U, "the refusal to name the waiting request");
    story.check(queue.finish({false, 10ms, {}, 1s}, now).empty(), "no further request to run after the queue was cleared");
}

Test(gate, running_requests_never_exceed_the_slots)
{
    tests::holds("running requests stay within the slots for any order of arrivals and ends", [] {
        gate::SlotQueue queue;
        const auto slots = *rc::gen::inRange(1, 5);
        queue.setSlots(slots);
        auto now = after(0s);
        int running = 0;
        for (std::uint64_t id = 1; id < 200; ++id) {
            now += core::Duration(*rc::gen::inRange(0, 50000));
            if (running > 0 && *rc::gen::arbitrary<bool>()) {
                --running;
                for (const auto &decision : queue.finish({false, core::Duration(*rc::gen::inRange(1, 100000)), {}, 1s}, now)) {
                    running += decision.kind == SlotDecision::Kind::Run ? 1 : 0;
                }
            } else {
                running += queue.offer(requestOf(id, *rc::gen::inRange(0, 3), now), now).kind == SlotDecision::Kind::Run ? 1 : 0;
            }
            RC_ASSERT(running <= slots);
            RC_ASSERT(running == queue.running());
            RC_ASSERT(queue.waiting() == 0 || running == slots);
        }
    });
}

Test(gate, root_calls_are_limited_to_the_rate_of_a_downstream_bottleneck)
{
    tests::Story story;
    gate::SlotQueue queue;
    queue.setSlots(100);
    auto now = after(0s);
    std::uint64_t next = 1;
    story.section("root calls wait for nested calls for most of their objective", [&] {
        for (int round = 0; round < 200; ++round) {
            now += 10ms;
            static_cast<void>(queue.offer(requestOf(next++, 2, now), now));
            static_cast<void>(queue.finish({false, 800ms, 750ms, 1s}, now));
        }
        story.check(queue.rootLimit() < 60, "the root limit to fall below the usable slots");
        story.check(queue.rootLimit() >= 40,
                    "the root limit to allow for 100 root calls per second, each running as long as its objective permits");
    });
    story.section("a nested call arrives while root calls are limited", [&] {
        for (int at = 0; at < 60; ++at) {
            static_cast<void>(queue.offer(requestOf(next++, 2, now), now));
        }
        const auto nested = requestOf(next++, 2, now, true);
        story.equal(queue.offer(nested, now).kind, SlotDecision::Kind::Run, "the nested call to run without regard to the root limit");
    });
    story.section("nested calls are fast again", [&] {
        for (int round = 0; round < 200; ++round) {
            now += 10ms;
            static_cast<void>(queue.offer(requestOf(next++, 2, now), now));
            static_cast<void>(queue.finish({false, 100ms, 50ms, 1s}, now));
        }
        story.equal(queue.rootLimit(), 90, "the root limit to equal the usable slots, 90 of 100");
    });
}

// Guards against starvation of root calls: strict precedence of nested calls leaves no slots to a route of the same priority while a
// surge of chains ends at this endpoint.
Test(gate, nested_calls_do_not_starve_root_calls)
{
    tests::Story story;
    gate::SlotQueue queue;
    queue.setSlots(10);
    auto now = after(0s);
    int rootsOffered = 0;
    int rootsStarted = 0;
    int nestedStarted = 0;
    std::map<std::uint64_t, bool> isNestedById; // whether each request is nested, by id
    std::deque<bool> running; // whether each run is nested, oldest first
    std::uint64_t next = 1;
    const auto recordStarted = [&](const std::vector<SlotDecision> &decisions) {
        for (const auto &decision : decisions) {
            if (decision.kind == SlotDecision::Kind::Run) {
                const bool isNested = isNestedById[core::value(decision.entry)];
                ++(isNested ? nestedStarted : rootsStarted);
                running.push_back(isNested);
            }
        }
    };
    const auto finishOldest = [&] {
        const bool isNested = running.front();
        running.pop_front();
        recordStarted(queue.finish({isNested, 45ms, {}, 1s}, now));
    };
    for (int step = 0; step < 4000; ++step) {
        now += 10ms;
        // Two nested calls and one root call arrive per step, and two slots become free.
        for (int at = 0; at < 3; ++at) {
            const bool isNested = at < 2;
            rootsOffered += isNested ? 0 : 1;
            isNestedById[next] = isNested;
            recordStarted({queue.offer(requestOf(next++, 2, now, isNested), now)});
        }
        finishOldest();
        finishOldest();
    }
    // A route counts as starved if it is served less than a quarter as often as all requests, of which two in three run here.
    story.check(rootsStarted * 6 > rootsOffered, "more than a sixth of the root calls to run");
    story.check(nestedStarted > rootsStarted, "more nested calls than root calls to run");
}

Test(gate, refused_callers_get_staggered_retry_times)
{
    tests::Story story;
    gate::SlotQueue queue;
    queue.setSlots(1);
    auto now = after(0s);
    for (std::uint64_t id = 1; id < 200; ++id) {
        now += 50ms;
        static_cast<void>(queue.offer(requestOf(id, 2, now), now));
        static_cast<void>(queue.finish({false, 50ms, {}, 1s}, now + 50ms));
    }
    // The slot is taken, and many requests arrive at once.
    std::vector<core::Duration> retryTimes;
    for (std::uint64_t id = 1000; id < 1060; ++id) {
        const auto decision = queue.offer(requestOf(id, 2, now), now);
        if (decision.kind == SlotDecision::Kind::Refuse) {
            retryTimes.push_back(decision.retryAfter);
        }
    }
    story.check(retryTimes.size() > 20, "more than 20 of 60 requests to be refused");
    story.section("requests are refused at the same time", [&] {
        story.check(std::is_sorted(retryTimes.begin(), retryTimes.end()), "retry times in the order of the refusals");
        story.check(retryTimes.at(10) - retryTimes.at(0) >= 500ms, "retry times at a rate that leaves capacity for new requests");
        story.check(retryTimes.back() <= 2s, "no retry time of more than 2 s, since clients do not wait longer");
    });
    story.section("a retried request has missed its objective", [&] {
        auto late = requestOf(2000, 2, now);
        late.target = now - 1s;
        static_cast<void>(queue.refuseAll(ErrorKind::NotServing));
        story.equal(queue.offer(late, now).kind, SlotDecision::Kind::Wait, "the late request to wait");
        story.equal(queue.offer(requestOf(2001, 2, now), now).kind, SlotDecision::Kind::Wait, "a request that is in time to wait too");
        const auto next = queue.finish({false, 50ms, {}, 1s}, now);
        story.equal(core::value(next.at(0).entry), 2001U, "the request that is in time to run first");
        story.equal(core::value(queue.finish({false, 50ms, {}, 1s}, now).at(0).entry), 2000U, "the late request to run after it");
    });
}
