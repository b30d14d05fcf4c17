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

namespace
{
/// Drives a queue in virtual time in front of an endpoint with a rate limit, and records when requests start.
class LimitedEndpoint
{
public:
    LimitedEndpoint()
    {
        this->queue.setSlots(200);
    }

    void setLimit(std::optional<double> perSecond)
    {
        this->record(this->queue.setRateLimit(perSecond, this->now));
    }

    /// Offers requests of one priority at a rate, and lets requests run for 50 ms, for a duration.
    void offer(core::Duration duration, double perSecond, int priority = 2, bool isNested = false)
    {
        const auto end = this->now + duration;
        for (double due = 0; this->now < end; this->now += 5ms) {
            for (due += perSecond * 0.005; due >= 1; due -= 1) {
                const auto request = requestOf(this->nextId++, priority, this->now, isNested);
                this->priorities[core::value(request.entry)] = priority;
                ++this->offered[priority];
                this->record({this->queue.offer(request, this->now)});
            }
            this->advance();
        }
    }

    /// Number of requests that started in the window before now.
    [[nodiscard]] std::size_t startsWithin(core::Duration window) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->starts.begin(), this->starts.end(), [&](core::TimePoint start) { return start > this->now - window; }));
    }

    gate::SlotQueue queue;
    core::TimePoint now = after(0s);
    std::map<int, int> offered; // by priority
    std::map<int, int> started; // by priority
    int refused = 0;
    core::Duration longestRetryAfter {};

private:
    void advance()
    {
        while (!this->running.empty() && this->running.front() <= this->now) {
            this->running.pop_front();
            this->record(this->queue.finish({false, 50ms, {}, 1s}, this->now));
        }
        this->record(this->queue.startWaiting(this->now));
    }

    void record(const std::vector<SlotDecision> &decisions)
    {
        for (const auto &decision : decisions) {
            if (decision.kind == SlotDecision::Kind::Run) {
                this->starts.push_back(this->now);
                this->running.push_back(this->now + 50ms);
                ++this->started[this->priorities[core::value(decision.entry)]];
            } else if (decision.kind == SlotDecision::Kind::Refuse) {
                ++this->refused;
                this->longestRetryAfter = std::max(this->longestRetryAfter, decision.retryAfter);
            }
        }
    }

    std::deque<core::TimePoint> starts;
    std::deque<core::TimePoint> running; // ends of the running requests
    std::map<std::uint64_t, int> priorities;
    std::uint64_t nextId = 1;
};
} // namespace

// Guards against an endpoint that receives more requests than the limit that it states (incident 0001).
Test(gate, requests_start_within_the_rate_limit_of_the_endpoint)
{
    tests::Story story;
    LimitedEndpoint endpoint;
    // Offers requests at a rate above the limit and checks how many start.
    const auto checkStarts = [&](core::Duration duration, double demand, std::size_t lowest, std::size_t highest) {
        endpoint.offer(duration, demand);
        const auto starts = endpoint.startsWithin(duration);
        story.check(starts >= lowest, "the limit to be used up");
        story.check(starts <= highest, "no more requests to start than the limit allows");
    };
    story.section("before the endpoint states a limit", [&] { checkStarts(4s, 300, 1190, 1200); });
    story.section("the endpoint states a limit below the demand", [&] {
        endpoint.setLimit(75);
        checkStarts(4s, 300, 290, 310);
        story.check(endpoint.refused > 800, "the excess to be refused");
        story.check(endpoint.longestRetryAfter <= 2s, "retry times that clients honour");
    });
    story.section("the limit falls while requests wait", [&] {
        endpoint.setLimit(5);
        checkStarts(4s, 300, 18, 22);
    });
    story.section("the limit is a fraction", [&] {
        endpoint.setLimit(0.5);
        checkStarts(20s, 50, 9, 11);
    });
    story.section("the limit is 0, and one request every five seconds shows whether it has ended", [&] {
        endpoint.setLimit(0);
        checkStarts(20s, 50, 3, 5);
    });
    story.section("the limit ends", [&] {
        endpoint.setLimit(std::nullopt);
        checkStarts(4s, 300, 1190, 1300);
    });
    story.section("the limit returns", [&] {
        endpoint.setLimit(75);
        checkStarts(4s, 300, 290, 310);
    });
}

// Guards against starvation of important requests at an endpoint whose rate limit is below the demand.
Test(gate, important_requests_use_the_rate_limit_first)
{
    tests::Story story;
    LimitedEndpoint endpoint;
    endpoint.setLimit(100);
    for (int step = 0; step < 1000; ++step) {
        endpoint.offer(5ms, 200, 0);
        endpoint.offer(5ms, 800, 2);
    }
    story.check(endpoint.started[0] * 10 > endpoint.offered[0] * 9, "nine in ten of the requests of the highest priority to start");
    story.check(endpoint.started[2] * 10 < endpoint.offered[2], "less than a tenth of the others to start");
}

// Guards against a rate limit that is exceeded in some order of arrivals, statements and ends (incident 0001).
Test(gate, no_window_of_four_seconds_exceeds_the_rate_limit)
{
    tests::holds("starts in any 4 s stay within one and a half times the limit and five requests", [] {
        gate::SlotQueue queue;
        queue.setSlots(*rc::gen::inRange(1, 100));
        auto now = after(0s);
        std::deque<core::TimePoint> starts;
        std::deque<std::pair<core::TimePoint, double>> limits; // limits in effect since the times given
        std::uint64_t id = 1;
        int running = 0;
        const auto record = [&](const std::vector<SlotDecision> &decisions) {
            for (const auto &decision : decisions) {
                if (decision.kind == SlotDecision::Kind::Run) {
                    starts.push_back(now);
                    ++running;
                }
            }
        };
        const auto allowed = [&] {
            double requests = 0;
            const auto begin = now - 4s;
            for (std::size_t at = 0; at < limits.size(); ++at) {
                const auto from = std::max(begin, limits[at].first);
                const auto to = at + 1 < limits.size() ? std::max(from, limits[at + 1].first) : std::max(from, now);
                requests += core::toSeconds(to - from) * limits[at].second;
            }
            return requests;
        };
        for (int step = 0; step < 300; ++step) {
            now += core::Duration(*rc::gen::inRange(0, 100000));
            if (step % 50 == 0) {
                const double limit = *rc::gen::inRange(0, 1000) / 10.0;
                limits.emplace_back(now, limit);
                record(queue.setRateLimit(limit, now));
            }
            const auto arrivals = *rc::gen::inRange(0, 20);
            for (int at = 0; at < arrivals; ++at) {
                record({queue.offer(requestOf(id++, *rc::gen::inRange(0, 3), now, *rc::gen::arbitrary<bool>()), now)});
            }
            if (running > 0 && *rc::gen::arbitrary<bool>()) {
                --running;
                record(queue.finish({false, 50ms, {}, 1s}, now));
            }
            record(queue.startWaiting(now));
            const auto inWindow = std::count_if(starts.begin(), starts.end(), [&](core::TimePoint start) { return start > now - 4s; });
            RC_ASSERT(static_cast<double>(inWindow) <= 1.5 * allowed() + 5);
        }
    });
}

// Guards against a limit that ends or rises because of a response that the endpoint made before it stated the limit.
Test(gate, late_responses_do_not_end_a_stated_limit)
{
    tests::Story story;
    gate::StatedLimit limit;
    story.check(limit.applyResponse(50, after(1s), after(2s)), "the first statement to change the limit");
    story.section("a response to a request that was sent before the statement arrived", [&] {
        story.check(!limit.applyResponse(std::nullopt, after(1500ms), after(2100ms)), "a response without the limit to be ignored");
        story.check(!limit.applyResponse(80, after(1500ms), after(2100ms)), "a larger limit to be ignored");
        story.check(limit.applyResponse(40, after(1500ms), after(2100ms)), "a smaller limit to take effect");
    });
    story.section("a response to a request that was sent afterwards", [&] {
        story.check(limit.applyResponse(80, after(2200ms), after(2300ms)), "a larger limit to take effect");
        story.equal(limit.value(), std::optional(80.0), "the larger limit");
        story.check(limit.applyResponse(std::nullopt, after(2400ms), after(2500ms)), "a response without the limit to end it");
        story.check(!limit.value(), "no limit");
    });
    story.section("no response arrives", [&] {
        static_cast<void>(limit.applyResponse(0.5, after(3s), after(3s)));
        story.equal(limit.value(), std::optional(0.5), "the limit to last");
    });
}

// Guards against a node that forgets the limit of its endpoint when it restarts, while other nodes still know it.
Test(gate, limits_known_to_other_nodes_count_until_the_endpoint_responds)
{
    tests::Story story;
    gate::StatedLimit limit;
    story.check(limit.applyHint(60), "the first hint to set the limit");
    story.check(!limit.applyHint(90), "a larger hint to be ignored");
    story.check(limit.applyHint(40), "a smaller hint to take effect");
    story.section("the endpoint responds without a limit", [&] {
        story.check(limit.applyResponse(std::nullopt, after(1s), after(2s)), "the hint to end");
        story.check(!limit.applyHint(40), "later hints to be ignored, since other nodes may not know of the end yet");
    });
    story.section("another incarnation starts", [&] {
        static_cast<void>(limit.applyResponse(10, after(3s), after(4s)));
        limit.reset();
        story.check(!limit.value(), "no limit");
        story.check(limit.applyHint(70), "hints to count again");
    });
}
