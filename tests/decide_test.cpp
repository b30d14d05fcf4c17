#include "support/boards.h"
#include "support/story.h"

#include "decide/decide.h"

#include <algorithm>
#include <map>

using namespace figpulley;
using core::ErrorKind;
using core::Ran;
using tests::at;

namespace
{
decide::IngressArrival arrival(std::uint64_t id, core::Rank rank, bool isIdempotent = true)
{
    decide::IngressArrival arrival;
    arrival.entry = core::EntryId {id};
    arrival.envelope.attempt = core::AttemptId {id};
    arrival.envelope.rank = rank;
    arrival.envelope.remaining = std::chrono::milliseconds(1000);
    arrival.envelope.isIdempotent = isIdempotent;
    arrival.envelope.target = core::Incarnation {100};
    arrival.traceLow = id;
    return arrival;
}

decide::CallRequest lookup()
{
    decide::CallRequest request;
    request.service = "motivi";
    request.method = "GET";
    request.path = "/";
    request.user = "ana";
    return request;
}

decide::CallRequest commission()
{
    auto request = lookup();
    request.service = "commesse";
    request.method = "POST";
    return request;
}

decide::AttemptResult lost(std::int64_t milliseconds)
{
    return {ErrorKind::AnswerLost, std::nullopt, at(milliseconds)};
}

decide::AttemptResult refused(ErrorKind kind, std::int64_t milliseconds)
{
    core::CallOutcome outcome;
    outcome.kind = kind;
    outcome.ran = core::errorProperties(kind).ran;
    outcome.isRetryWorthwhile = core::errorProperties(kind).isRetryable;
    return {ErrorKind::None, outcome, at(milliseconds)};
}
} // namespace

Test(decide, a_call_is_driven_without_a_socket)
{
    tests::Story story;
    const decide::CallController controller;
    core::Random random(1);
    story.section("a lookup whose answer is lost", [&] {
        auto board = tests::makeBoard("");
        tests::addEndpoints(*board, "motivi", 3);
        auto step = controller.begin(*board, core::CallId {1}, lookup(), at(0), random);
        story.check(std::holds_alternative<decide::SendAttempt>(step), "it is sent");
        story.equal(std::get<decide::SendAttempt>(step).envelope.retryBudget, 2, "the whole budget is lent");
        step = controller.attemptEnded(*board, core::CallId {1}, lost(10), random);
        story.check(std::holds_alternative<decide::FinishCall>(step), "all that was lent is taken as spent, so it is not retried");
        story.equal(std::get<decide::FinishCall>(step).outcome.ran, Ran::Unknown, "nobody knows whether it ran");
    });
    story.section("a lookup that an endpoint refuses", [&] {
        auto board = tests::makeBoard("");
        tests::addEndpoints(*board, "motivi", 3);
        auto step = controller.begin(*board, core::CallId {1}, lookup(), at(0), random);
        const auto first = std::get<decide::SendAttempt>(step).node;
        step = controller.attemptEnded(*board, core::CallId {1}, refused(ErrorKind::Draining, 10), random);
        story.check(std::holds_alternative<decide::SendAttempt>(step), "it is sent elsewhere at once");
        story.check(std::get<decide::SendAttempt>(step).node != first, "to another endpoint");
        story.equal(std::get<decide::SendAttempt>(step).envelope.retryBudget, 1, "one retry is spent");
    });
    story.section("a commission whose answer is lost", [&] {
        auto board = tests::makeBoard("");
        tests::addEndpoints(*board, "commesse", 3);
        auto step = controller.begin(*board, core::CallId {1}, commission(), at(0), random);
        core::CallOutcome unknown;
        unknown.kind = ErrorKind::AnswerLost;
        unknown.ran = Ran::Unknown;
        unknown.isRetryWorthwhile = true;
        step = controller.attemptEnded(*board, core::CallId {1}, {ErrorKind::None, unknown, at(5)}, random);
        story.check(std::holds_alternative<decide::FinishCall>(step), "it is never sent again");
    });
    story.section("a commission that was refused as not run", [&] {
        auto board = tests::makeBoard("");
        tests::addEndpoints(*board, "commesse", 3);
        auto step = controller.begin(*board, core::CallId {1}, commission(), at(0), random);
        step = controller.attemptEnded(*board, core::CallId {1}, refused(ErrorKind::Draining, 5), random);
        story.check(std::holds_alternative<decide::SendAttempt>(step), "it may be sent elsewhere");
        step = controller.attemptEnded(*board, core::CallId {1}, lost(9), random);
        story.equal(std::get<decide::FinishCall>(step).outcome.ran, Ran::Unknown, "and then its outcome may be unknown");
    });
    story.section("a refusal after an attempt that may have run", [&] {
        auto board = tests::makeBoard("");
        tests::addEndpoints(*board, "motivi", 3);
        auto step = controller.begin(*board, core::CallId {1}, lookup(), at(0), random);
        core::CallOutcome unknown;
        unknown.kind = ErrorKind::AnswerLost;
        unknown.ran = Ran::Unknown;
        unknown.isRetryWorthwhile = true;
        step = controller.attemptEnded(*board, core::CallId {1}, {ErrorKind::None, unknown, at(5)}, random);
        story.check(std::holds_alternative<decide::WaitBeforeRetry>(step), "it is retried after a wait");
        step = controller.retryDue(*board, core::CallId {1}, at(1000), random);
        story.equal(std::get<decide::FinishCall>(step).outcome.kind, ErrorKind::DeadlineExpired, "its time is over");
        story.equal(std::get<decide::FinishCall>(step).outcome.ran, Ran::Unknown, "not run is not claimed");
    });
    story.section("a call that no route matches", [&] {
        auto board = tests::makeBoard("");
        auto request = lookup();
        request.service = "nessuno";
        const auto step = controller.begin(*board, core::CallId {1}, request, at(0), random);
        story.equal(std::get<decide::FinishCall>(step).outcome.kind, ErrorKind::NoRoute, "it is refused");
        story.check(board->calls.read().calls.empty(), "nothing is left behind");
    });
}

Test(decide, nested_calls_inherit)
{
    tests::Story story;
    const decide::CallController calls;
    const decide::IngressController ingress;
    core::Random random(1);
    auto board = tests::makeBoard("motivi");
    tests::addEndpoints(*board, "commesse", 3);
    auto parent = arrival(7, core::Rank(5000));
    parent.envelope.retryBudget = 3;
    parent.envelope.route = "lookup";
    static_cast<void>(ingress.offer(*board, parent, at(0)));
    auto request = commission();
    request.isNested = true;
    story.section("a nested call that names its parent", [&] {
        request.parent = core::EntryId {7};
        const auto step = calls.begin(*board, core::CallId {1}, request, at(1), random);
        const auto &send = std::get<decide::SendAttempt>(step);
        story.equal(send.envelope.rank.value(), 5000U, "it has the root's rank, whatever its own route says");
        story.equal(send.envelope.retryBudget, 2, "half of the budget, rounded up, is lent");
    });
    story.section("a parallel one that is known by its trace", [&] {
        request.parent = std::nullopt;
        request.traceLow = 7;
        const auto step = calls.begin(*board, core::CallId {2}, request, at(1), random);
        story.equal(std::get<decide::SendAttempt>(step).envelope.retryBudget, 1, "it finds the rest of the budget");
    });
    story.section("one whose parent is unknown", [&] {
        request.traceLow = 99;
        const auto step = calls.begin(*board, core::CallId {3}, request, at(1), random);
        story.equal(std::get<decide::SendAttempt>(step).envelope.retryBudget, 0, "it gets no retry");
    });
    story.section("the answer of the parent tells what was spent", [&] {
        core::CallOutcome child;
        child.retriesSpent = 1;
        static_cast<void>(calls.attemptEnded(*board, core::CallId {1}, {ErrorKind::None, child, at(5)}, random));
        core::CallOutcome outcome;
        static_cast<void>(ingress.finish(*board, core::EntryId {7}, {ErrorKind::None, 200, at(0)}, at(9), outcome));
        story.equal(outcome.retriesSpent, 2, "one reported by a child, and one lent to a child that has not answered");
    });
}

Test(decide, admission)
{
    tests::Story story;
    const decide::IngressController ingress;
    auto board = tests::makeBoard("motivi");
    const auto offer = [&](std::uint64_t id, std::uint32_t rank) { return ingress.offer(*board, arrival(id, core::Rank(rank)), at(0)); };
    story.section("two calls fill the limit", [&] {
        story.equal(offer(1, 10).front().admission, decide::Admission::Run, "the first runs");
        story.equal(offer(2, 10).front().admission, decide::Admission::Run, "the second runs");
    });
    story.section("two more fill the queue", [&] {
        story.equal(offer(3, 20).front().admission, decide::Admission::Wait, "the third waits");
        story.equal(offer(4, 30).front().admission, decide::Admission::Wait, "the fourth waits");
    });
    story.section("a lower rank is refused", [&] { story.equal(offer(5, 15).front().refusal, ErrorKind::Overloaded, "no capacity"); });
    story.section("a higher rank takes the lowest one's place", [&] {
        const auto actions = offer(6, 5000);
        story.equal(actions.front().admission, decide::Admission::Wait, "it waits");
        story.equal(actions.at(1).entry, core::EntryId {3}, "the lowest is refused");
        story.equal(ingress.refuse(*board, core::EntryId {3}, actions.at(1).refusal).ran, Ran::No, "as not run");
    });
    story.section("the highest rank runs next", [&] {
        core::CallOutcome outcome;
        const auto actions = ingress.finish(*board, core::EntryId {1}, {ErrorKind::None, 200, at(0)}, at(10), outcome);
        story.equal(actions.front().entry, core::EntryId {6}, "the commission");
    });
    story.section("what waits too long is refused as not run", [&] {
        static_cast<void>(offer(7, 5000));
        const auto actions = ingress.tick(*board, at(150));
        story.equal(actions.size(), 1U, "one call, since the highest level waits up to half of its time");
        story.equal(actions.front().entry, core::EntryId {4}, "the lookup");
        story.equal(actions.front().refusal, ErrorKind::QueueTimeout, "the queue's time is over");
        story.equal(core::errorProperties(actions.front().refusal).ran, Ran::No, "not run");
        story.equal(ingress.tick(*board, at(501)).front().entry, core::EntryId {7}, "the commission after half of its second");
    });
}

Test(decide, attempts_run_at_most_once)
{
    tests::Story story;
    const decide::IngressController ingress;
    auto board = tests::makeBoard("commesse");
    story.section("an attempt arrives twice", [&] {
        story.equal(ingress.offer(*board, arrival(1, {}, false), at(0)).front().admission, decide::Admission::Run, "the first runs");
        auto copy = arrival(1, {}, false);
        copy.entry = core::EntryId {2};
        story.equal(ingress.offer(*board, copy, at(1)).front().refusal, ErrorKind::DuplicateAttempt, "the copy is refused");
        story.equal(ingress.refuse(*board, core::EntryId {2}, ErrorKind::DuplicateAttempt).ran, Ran::Unknown,
                    "and nothing is claimed about the first");
    });
    story.section("an attempt meant for an earlier life of the VM", [&] {
        auto stale = arrival(3, {}, false);
        stale.envelope.target = core::Incarnation {99};
        const auto action = ingress.offer(*board, stale, at(2)).front();
        story.equal(action.refusal, ErrorKind::StaleIncarnation, "it is refused");
        story.equal(core::errorProperties(action.refusal).ran, Ran::Unknown, "the earlier life may have run it");
    });
    story.section("a full table", [&] {
        const decide::AttemptTable table;
        for (std::uint64_t id = 1000; id < 1000 + decide::AttemptTable::capacity; ++id) {
            static_cast<void>(table.remember(*board, core::AttemptId {id}, at(1000), at(3)));
        }
        const auto action = ingress.offer(*board, arrival(4, {}, false), at(4)).front();
        story.equal(action.refusal, ErrorKind::AttemptTableFull, "it refuses");
        story.equal(core::errorProperties(action.refusal).ran, Ran::No, "as not run");
        story.equal(table.remember(*board, core::AttemptId {5}, at(99000), at(40000)), decide::AttemptVerdict::New,
                    "and takes new ones when old ones have expired");
    });
    story.section("a leaving node", [&] {
        decide::DrainController().requestStop(*board, at(5));
        story.equal(ingress.offer(*board, arrival(9, {}, false), at(6)).front().refusal, ErrorKind::Draining, "it refuses at once");
    });
}

namespace
{
// A random tree of calls in which every node keeps its own ledger; attempts fail, answers get lost.
class CallTree
{
public:
    CallTree(std::uint32_t seed, int lossPercent, int largestFanOut)
        : random(seed)
        , lossPercent(lossPercent)
        , largestFanOut(largestFanOut)
    {
    }

    // Runs one attempt of a call at depth `depth` with a lent budget; returns what was spent, or nothing if the answer is lost.
    std::optional<int> attempt(int depth, int lent)
    {
        auto board = tests::makeBoard("motivi");
        auto parent = arrival(7, core::Rank(1));
        parent.envelope.retryBudget = lent;
        this->ledger.open(*board, core::EntryId {7}, parent.envelope, 7, at(0));
        const auto children = depth == 0 ? 0 : 1 + static_cast<int>(this->random() % static_cast<unsigned>(this->largestFanOut));
        for (int child = 0; child < children; ++child) {
            this->callChild(*board, depth - 1);
        }
        const auto spent = this->ledger.close(*board, core::EntryId {7});
        if (this->isLost()) {
            return std::nullopt;
        }
        return spent;
    }

    int retries = 0;

private:
    void callChild(board::Blackboard &board, int depth)
    {
        while (true) {
            const auto lent = this->ledger.lend(board, core::EntryId {7});
            const auto spent = this->attempt(depth, lent);
            if (spent) {
                this->ledger.giveBack(board, core::EntryId {7}, lent - *spent);
            }
            const bool isFailed = !spent || this->isLost();
            if (!isFailed || !this->ledger.draw(board, core::EntryId {7})) {
                return;
            }
            ++this->retries;
        }
    }

    bool isLost()
    {
        return static_cast<int>(this->random() % 100) < this->lossPercent;
    }

    core::Random random;
    int lossPercent;
    int largestFanOut;
    decide::Ledger ledger;
};
} // namespace

Test(decide, budget_of_a_root)
{
    tests::holds("retries below a root never exceed its budget, whatever is lost", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto budget = *rc::gen::inRange(0, 6);
        const auto loss = *rc::gen::inRange(0, 90);
        const auto depth = *rc::gen::inRange(1, 6);
        CallTree tree(seed, loss, 2);
        const auto spent = tree.attempt(depth, budget);
        RC_ASSERT(tree.retries <= budget);
        RC_ASSERT(!spent || *spent >= tree.retries);
    });
    tests::Story story;
    story.section("a chain 28 deep in which everything fails", [&] {
        CallTree tree(1, 100, 1);
        static_cast<void>(tree.attempt(27, 2));
        story.check(tree.retries <= 2, "at most two retries");
    });
}

Test(decide, priority_inversion_never_happens)
{
    tests::holds("a waiting call never loses its place to a lower rank", [] {
        auto board = tests::makeBoard("motivi");
        const decide::IngressController ingress;
        std::map<std::uint64_t, std::uint32_t> ranks;
        const auto count = *rc::gen::inRange(1, 60);
        for (std::uint64_t id = 1; id <= static_cast<std::uint64_t>(count); ++id) {
            const auto rank = *rc::gen::inRange(0U, core::Rank::end);
            ranks[id] = rank;
            const auto actions = ingress.offer(*board, arrival(id, core::Rank(rank)), at(0));
            for (const auto &action : actions) {
                if (action.admission != decide::Admission::Refuse) {
                    continue;
                }
                static_cast<void>(ingress.refuse(*board, action.entry, action.refusal));
                for (const auto &[key, queued] : board->admission.read().queue) {
                    RC_ASSERT(queued.rank.value() >= ranks[core::value(action.entry)]);
                }
            }
        }
        RC_ASSERT(board->admission.read().queue.size() <= 2U);
        RC_ASSERT(board->admission.read().running <= 2);
    });
}
