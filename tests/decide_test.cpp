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

decide::AttemptResult responseLost(std::int64_t milliseconds)
{
    return {ErrorKind::AnswerLost, std::nullopt, at(milliseconds)};
}

decide::AttemptResult refusedAttempt(ErrorKind kind, std::int64_t milliseconds)
{
    core::CallOutcome outcome;
    outcome.kind = kind;
    outcome.ran = core::errorProperties(kind).ran;
    outcome.isRetryWorthwhile = core::errorProperties(kind).isRetryable;
    return {ErrorKind::None, outcome, at(milliseconds)};
}
} // namespace

Test(decide, call_controller_retries_only_what_is_safe)
{
    tests::Story story;
    const decide::CallController controller;
    core::Random random(1);
    story.section("a lookup whose response is lost", [&] {
        auto board = tests::makeBoard("");
        tests::addEndpoints(*board, "motivi", 3);
        auto step = controller.begin(*board, core::CallId {1}, lookup(), at(0), random);
        story.check(std::holds_alternative<decide::SendAttempt>(step), "the lookup to be sent");
        story.equal(std::get<decide::SendAttempt>(step).envelope.retryBudget, 2, "the attempt to get the whole retry budget");
        step = controller.handleAttemptResult(*board, core::CallId {1}, responseLost(10), random);
        story.check(std::holds_alternative<decide::FinishCall>(step), "no retry, since the lent budget counts as spent without a report");
        story.equal(std::get<decide::FinishCall>(step).outcome.ran, Ran::Unknown, "an unknown outcome, since the lookup may have run");
    });
    story.section("a lookup that a draining endpoint refuses", [&] {
        auto board = tests::makeBoard("");
        tests::addEndpoints(*board, "motivi", 3);
        auto step = controller.begin(*board, core::CallId {1}, lookup(), at(0), random);
        const auto first = std::get<decide::SendAttempt>(step).node;
        step = controller.handleAttemptResult(*board, core::CallId {1}, refusedAttempt(ErrorKind::Draining, 10), random);
        story.check(std::holds_alternative<decide::SendAttempt>(step), "an immediate retry");
        story.check(std::get<decide::SendAttempt>(step).node != first, "the retry to go to another endpoint");
        story.equal(std::get<decide::SendAttempt>(step).envelope.retryBudget, 1, "one retry to be spent");
    });
    story.section("a commission whose response is lost", [&] {
        auto board = tests::makeBoard("");
        tests::addEndpoints(*board, "commesse", 3);
        auto step = controller.begin(*board, core::CallId {1}, commission(), at(0), random);
        core::CallOutcome unknown;
        unknown.kind = ErrorKind::AnswerLost;
        unknown.ran = Ran::Unknown;
        unknown.isRetryWorthwhile = true;
        step = controller.handleAttemptResult(*board, core::CallId {1}, {ErrorKind::None, unknown, at(5)}, random);
        story.check(std::holds_alternative<decide::FinishCall>(step), "no retry of a call that is not idempotent and may have run");
    });
    story.section("a commission that is refused as not run", [&] {
        auto board = tests::makeBoard("");
        tests::addEndpoints(*board, "commesse", 3);
        auto step = controller.begin(*board, core::CallId {1}, commission(), at(0), random);
        step = controller.handleAttemptResult(*board, core::CallId {1}, refusedAttempt(ErrorKind::Draining, 5), random);
        story.check(std::holds_alternative<decide::SendAttempt>(step), "a retry at another endpoint");
        step = controller.handleAttemptResult(*board, core::CallId {1}, responseLost(9), random);
        story.equal(std::get<decide::FinishCall>(step).outcome.ran, Ran::Unknown,
                    "an unknown outcome after the response to the retry is lost");
    });
    story.section("a refusal after an attempt that may have run", [&] {
        auto board = tests::makeBoard("");
        tests::addEndpoints(*board, "motivi", 3);
        auto step = controller.begin(*board, core::CallId {1}, lookup(), at(0), random);
        core::CallOutcome unknown;
        unknown.kind = ErrorKind::AnswerLost;
        unknown.ran = Ran::Unknown;
        unknown.isRetryWorthwhile = true;
        step = controller.handleAttemptResult(*board, core::CallId {1}, {ErrorKind::None, unknown, at(5)}, random);
        story.check(std::holds_alternative<decide::WaitBeforeRetry>(step), "a retry after a wait");
        step = controller.resumeAfterWait(*board, core::CallId {1}, at(1000), random);
        story.equal(std::get<decide::FinishCall>(step).outcome.kind, ErrorKind::DeadlineExpired,
                    "the deadline to be expired when the wait ends");
        story.equal(std::get<decide::FinishCall>(step).outcome.ran, Ran::Unknown, "the call not to be reported as not run");
    });
    story.section("a call that no route matches", [&] {
        auto board = tests::makeBoard("");
        auto request = lookup();
        request.service = "nessuno";
        const auto step = controller.begin(*board, core::CallId {1}, request, at(0), random);
        story.equal(std::get<decide::FinishCall>(step).outcome.kind, ErrorKind::NoRoute, "the call to be refused as without route");
        story.check(board->calls.read().calls.empty(), "no state of the refused call to remain");
    });
}

Test(decide, nested_calls_inherit_rank_and_budget_of_their_root)
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
    static_cast<void>(ingress.handleArrival(*board, parent, at(0)));
    auto request = commission();
    request.isNested = true;
    story.section("a nested call that names its parent", [&] {
        request.parent = core::EntryId {7};
        const auto step = calls.begin(*board, core::CallId {1}, request, at(1), random);
        const auto &send = std::get<decide::SendAttempt>(step);
        story.equal(send.envelope.rank.value(), 5000U, "the rank of the root call instead of that of the nested call's route");
        story.equal(send.envelope.retryBudget, 2, "half of the retry budget, rounded up");
    });
    story.section("a parallel nested call that is matched to its parent by its trace", [&] {
        request.parent = std::nullopt;
        request.traceLow = 7;
        const auto step = calls.begin(*board, core::CallId {2}, request, at(1), random);
        story.equal(std::get<decide::SendAttempt>(step).envelope.retryBudget, 1, "the rest of the retry budget");
    });
    story.section("a nested call whose parent is unknown", [&] {
        request.traceLow = 99;
        const auto step = calls.begin(*board, core::CallId {3}, request, at(1), random);
        story.equal(std::get<decide::SendAttempt>(step).envelope.retryBudget, 0, "no retry budget");
    });
    story.section("the response of the parent reports the retries spent", [&] {
        core::CallOutcome child;
        child.retriesSpent = 1;
        static_cast<void>(calls.handleAttemptResult(*board, core::CallId {1}, {ErrorKind::None, child, at(5)}, random));
        core::CallOutcome outcome;
        static_cast<void>(ingress.handleCompletion(*board, core::EntryId {7}, {ErrorKind::None, 200, at(0)}, at(9), outcome));
        story.equal(outcome.retriesSpent, 2, "one retry reported by a nested call, and one lent to a nested call without a response");
    });
}

Test(decide, admission_runs_and_keeps_the_highest_ranks)
{
    tests::Story story;
    const decide::IngressController ingress;
    auto board = tests::makeBoard("motivi");
    const auto submit = [&](std::uint64_t id, std::uint32_t rank) {
        return ingress.handleArrival(*board, arrival(id, core::Rank(rank)), at(0));
    };
    story.section("the first two calls reach the concurrency limit", [&] {
        story.equal(submit(1, 10).front().admission, decide::Admission::Run, "the first call to run");
        story.equal(submit(2, 10).front().admission, decide::Admission::Run, "the second call to run");
    });
    story.section("the next two calls fill the queue", [&] {
        story.equal(submit(3, 20).front().admission, decide::Admission::Wait, "the third call to be queued");
        story.equal(submit(4, 30).front().admission, decide::Admission::Wait, "the fourth call to be queued");
    });
    story.section("a call of a lower rank than the queued ones arrives",
                  [&] { story.equal(submit(5, 15).front().refusal, ErrorKind::Overloaded, "the call to be refused as overloaded"); });
    story.section("a call of a higher rank than the queued ones arrives", [&] {
        const auto actions = submit(6, 5000);
        story.equal(actions.front().admission, decide::Admission::Wait, "the call to be queued");
        story.equal(actions.at(1).entry, core::EntryId {3}, "the queued call of the lowest rank to be refused");
        story.equal(ingress.refuse(*board, core::EntryId {3}, actions.at(1).refusal).ran, Ran::No,
                    "the refused call to be reported as not run");
    });
    story.section("a running call ends", [&] {
        core::CallOutcome outcome;
        const auto actions = ingress.handleCompletion(*board, core::EntryId {1}, {ErrorKind::None, 200, at(0)}, at(10), outcome);
        story.equal(actions.front().entry, core::EntryId {6}, "the queued call of the highest rank to run");
    });
    story.section("queued calls exceed their maximum wait", [&] {
        static_cast<void>(submit(7, 5000));
        const auto actions = ingress.tick(*board, at(150));
        story.equal(actions.size(), 1U, "one call to expire, since the highest level may wait for half of its time to the deadline");
        story.equal(actions.front().entry, core::EntryId {4}, "the lookup to expire first");
        story.equal(actions.front().refusal, ErrorKind::QueueTimeout, "a queue timeout");
        story.equal(core::errorProperties(actions.front().refusal).ran, Ran::No, "the expired call to be reported as not run");
        story.equal(ingress.tick(*board, at(501)).front().entry, core::EntryId {7},
                    "the commission to expire after half of its one-second deadline");
    });
}

Test(decide, attempts_run_at_most_once)
{
    tests::Story story;
    const decide::IngressController ingress;
    auto board = tests::makeBoard("commesse");
    story.section("an attempt arrives twice", [&] {
        story.equal(ingress.handleArrival(*board, arrival(1, {}, false), at(0)).front().admission, decide::Admission::Run,
                    "the first arrival to run");
        auto duplicate = arrival(1, {}, false);
        duplicate.entry = core::EntryId {2};
        story.equal(ingress.handleArrival(*board, duplicate, at(1)).front().refusal, ErrorKind::DuplicateAttempt,
                    "the duplicate to be refused");
        story.equal(ingress.refuse(*board, core::EntryId {2}, ErrorKind::DuplicateAttempt).ran, Ran::Unknown,
                    "an unknown outcome, since the first arrival may have run");
    });
    story.section("an attempt for an earlier incarnation of the VM", [&] {
        auto stale = arrival(3, {}, false);
        stale.envelope.target = core::Incarnation {99};
        const auto action = ingress.handleArrival(*board, stale, at(2)).front();
        story.equal(action.refusal, ErrorKind::StaleIncarnation, "the attempt to be refused as stale");
        story.equal(core::errorProperties(action.refusal).ran, Ran::Unknown,
                    "an unknown outcome, since the earlier incarnation may have run it");
    });
    story.section("the attempt table is full", [&] {
        const decide::AttemptTable table;
        for (std::uint64_t id = 1000; id < 1000 + decide::AttemptTable::capacity; ++id) {
            static_cast<void>(table.recordAttempt(*board, core::AttemptId {id}, at(1000), at(3)));
        }
        const auto action = ingress.handleArrival(*board, arrival(4, {}, false), at(4)).front();
        story.equal(action.refusal, ErrorKind::AttemptTableFull, "the attempt to be refused");
        story.equal(core::errorProperties(action.refusal).ran, Ran::No, "the refused attempt to be reported as not run");
        story.equal(table.recordAttempt(*board, core::AttemptId {5}, at(99000), at(40000)), decide::AttemptRecordResult::New,
                    "a new attempt to be recorded after old ones have expired");
    });
    story.section("the node is draining", [&] {
        decide::DrainController().requestStop(*board, at(5));
        story.equal(ingress.handleArrival(*board, arrival(9, {}, false), at(6)).front().refusal, ErrorKind::Draining,
                    "the attempt to be refused as draining");
    });
}

namespace
{
// Runs a random tree of nested calls in which each node has its own ledger, attempts fail and responses are lost.
class CallTree
{
public:
    CallTree(std::uint32_t seed, int lossPercent, int maxFanOut)
        : random(seed)
        , lossPercent(lossPercent)
        , maxFanOut(maxFanOut)
    {
    }

    // Runs one attempt of a call with `depth` levels of nested calls below it and a lent budget. Returns the retries spent, or nothing if
    // the response is lost.
    std::optional<int> attempt(int depth, int lent)
    {
        auto board = tests::makeBoard("motivi");
        auto parent = arrival(7, core::Rank(1));
        parent.envelope.retryBudget = lent;
        this->ledger.open(*board, core::EntryId {7}, parent.envelope, 7, at(0));
        const auto children = depth == 0 ? 0 : 1 + static_cast<int>(this->random() % static_cast<unsigned>(this->maxFanOut));
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
            const auto lent = this->ledger.lendBudget(board, core::EntryId {7});
            const auto spent = this->attempt(depth, lent);
            if (spent) {
                this->ledger.returnBudget(board, core::EntryId {7}, lent - *spent);
            }
            const bool isFailed = !spent || this->isLost();
            if (!isFailed || !this->ledger.spendRetry(board, core::EntryId {7})) {
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
    int maxFanOut;
    decide::Ledger ledger;
};
} // namespace

Test(decide, retries_never_exceed_the_budget_of_the_root)
{
    tests::holds("retries below a root call never exceed its budget, even if responses are lost", [] {
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
    story.section("a chain of 28 calls in which every attempt fails", [&] {
        CallTree tree(1, 100, 1);
        static_cast<void>(tree.attempt(27, 2));
        story.check(tree.retries <= 2, "no more retries than the budget of two");
    });
}

Test(decide, queued_calls_are_not_displaced_by_lower_ranks)
{
    tests::holds("a queued call never loses its place to a call of a lower rank", [] {
        auto board = tests::makeBoard("motivi");
        const decide::IngressController ingress;
        std::map<std::uint64_t, std::uint32_t> ranks;
        const auto count = *rc::gen::inRange(1, 60);
        for (std::uint64_t id = 1; id <= static_cast<std::uint64_t>(count); ++id) {
            const auto rank = *rc::gen::inRange(0U, core::Rank::end);
            ranks[id] = rank;
            const auto actions = ingress.handleArrival(*board, arrival(id, core::Rank(rank)), at(0));
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
