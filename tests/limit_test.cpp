#include "support/boards.h"
#include "support/story.h"

#include "decide/limit/limitalgorithm.h"
#include "decide/thresholdsearch.h"

using namespace figpulley;

namespace
{
// Returns the window of a simulated upstream whose latency grows in proportion to concurrency above its number of slots.
decide::LimitWindow windowAt(double limit, double slots, double serviceSeconds)
{
    decide::LimitWindow window;
    window.concurrency = limit;
    window.latency = serviceSeconds * std::max(1.0, limit / slots);
    window.throughput = limit / window.latency;
    window.saturation = 1;
    window.completed = 100;
    return window;
}

double settledLimit(config::LimitAlgorithm algorithm, board::LimitState &state, double slots, double serviceSeconds, int windows)
{
    config::ServicePolicy policy;
    policy.limitInitial = 20;
    policy.limitMinimum = 2;
    policy.limitMaximum = 1000;
    if (state.limit == 0) {
        state.limit = policy.limitInitial;
    }
    for (int count = 0; count < windows; ++count) {
        const auto next = decide::limitAlgorithmFor(algorithm).nextLimit(state, windowAt(state.limit, slots, serviceSeconds), policy);
        state.limit = std::clamp<double>(next, policy.limitMinimum, policy.limitMaximum);
    }
    return state.limit;
}
} // namespace

Test(limit, probing_limit_converges_to_the_slots_of_the_upstream)
{
    tests::Story story;
    board::LimitState state;
    story.section("an upstream with more slots than the initial limit", [&] {
        const auto limit = settledLimit(config::LimitAlgorithm::Probing, state, 50, 0.02, 100);
        story.check(limit >= 50 && limit <= 75, "the limit to rise to the 50 slots, got " + std::to_string(limit));
    });
    story.section("the upstream becomes four times slower", [&] {
        const auto limit = settledLimit(config::LimitAlgorithm::Probing, state, 50, 0.08, 100);
        story.check(limit >= 47 && limit <= 75, "the limit to stay, since the upstream still has 50 slots, got " + std::to_string(limit));
    });
    story.section("the upstream loses most of its slots", [&] {
        const auto limit = settledLimit(config::LimitAlgorithm::Probing, state, 10, 0.08, 100);
        story.check(limit >= 9 && limit <= 20, "the limit to fall to the 10 slots left, got " + std::to_string(limit));
    });
    story.section("the upstream is overloaded from the first window on", [&] {
        board::LimitState late;
        late.limit = 200;
        const auto limit = settledLimit(config::LimitAlgorithm::Probing, late, 30, 0.05, 150);
        story.check(limit >= 28 && limit <= 50, "the limit to fall to the 30 slots under constant overload, got " + std::to_string(limit));
    });
}

Test(limit, threshold_rises_on_refusals_and_falls_after_them)
{
    tests::Story story;
    board::ThresholdCounts counts;
    std::uint32_t descent = 0;
    story.section("calls of a hundred ranks arrive and twenty can be started", [&] {
        for (std::size_t bucket = 0; bucket < 100; ++bucket) {
            counts.arrivals[bucket] = 1;
        }
        counts.started = 20;
        counts.refused = 80;
        core::Rank threshold;
        for (int window = 0; window < 20; ++window) {
            threshold = decide::nextThreshold(threshold, descent, counts, 0.05);
        }
        const auto admitted = 100 - static_cast<int>(threshold.value() / board::ranksPerBucket);
        story.check(admitted >= 20 && admitted <= 24, "about twenty ranks to remain above the threshold, got " + std::to_string(admitted));
        story.section("the surge ends", [&] {
            decide::decayCounts(counts);
            int windows = 0;
            while (threshold.value() > 0) {
                threshold = decide::nextThreshold(threshold, descent, counts, 0.05);
                ++windows;
            }
            story.check(windows * 50 < 2000, "the threshold to return to zero within two seconds");
        });
    });
    story.section("the refusals end at the maximum threshold", [&] {
        core::Rank threshold(core::Rank::end);
        descent = 0;
        int windows = 0;
        decide::decayCounts(counts);
        while (threshold.value() > 0) {
            threshold = decide::nextThreshold(threshold, descent, counts, 0.05);
            ++windows;
        }
        story.check(windows * 50 < 2000, "the maximum threshold to return to zero within two seconds");
    });
}
