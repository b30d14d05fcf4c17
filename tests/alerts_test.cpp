#include "support/story.h"

#include "alerts/alerts.h"
#include "alerts/alerttest.h"

#include <cmath>

using namespace figpulley;
using alerts::Labels;

namespace
{
constexpr alerts::Millis minute = 60 * alerts::millisPerSecond;

void addSamples(alerts::SampleStore &store, const Labels &labels, const std::string &values, alerts::Millis interval)
{
    const auto samples = alerts::parseTestValues(values, interval);
    for (const auto &sample : *samples) {
        store.add(labels, sample);
    }
}

std::string evaluate(const alerts::SampleSource &source, const std::string &text, alerts::Millis at)
{
    std::string result;
    for (const auto &sample : alerts::Evaluator(source).evaluateVector(*alerts::parseExpression(text), at)) {
        result += (result.empty() ? "" : "; ") + sample.labels.toString() + " " + std::to_string(sample.value);
    }
    return result;
}

std::size_t errorColumn(const std::string &text)
{
    try {
        static_cast<void>(alerts::parseExpression(text));
        return 0;
    } catch (const alerts::ExpressionError &error) {
        return error.column();
    }
}
} // namespace

Test(alerts, expressions_follow_published_semantics)
{
    tests::Story story;
    alerts::SampleStore store(60 * minute);
    addSamples(store, {{"__name__", "c"}, {"job", "a"}}, "0+10x10", minute);
    addSamples(store, {{"__name__", "c"}, {"job", "b"}}, "0+10x4 0+10x5", minute);
    addSamples(store, {{"__name__", "g"}, {"job", "a"}}, "1 2 stale _ _ _ 5", minute);
    addSamples(store, {{"__name__", "h_bucket"}, {"le", "1"}}, "10x10", minute);
    addSamples(store, {{"__name__", "h_bucket"}, {"le", "2"}}, "20x10", minute);
    addSamples(store, {{"__name__", "h_bucket"}, {"le", "+Inf"}}, "20x10", minute);
    const auto equal = [&](const std::string &text, alerts::Millis at, const std::string &expected) {
        const auto actual = evaluate(store, text, at);
        story.check(actual == expected, text + " to evaluate to " + expected + ", got " + actual);
    };
    story.section("range functions extrapolate counters and recognize resets", [&] {
        equal("rate(c{job=\"a\"}[5m])", 10 * minute, "{job=\"a\"} 0.166667");
        // The samples at 6 to 10 min increase by 40 and are extrapolated over the 30 s to the start of the window.
        equal("increase(c{job=\"a\"}[4m30s])", 10 * minute, "{job=\"a\"} 45.000000");
        equal("resets(c{job=\"b\"}[10m])", 9 * minute, "{job=\"b\"} 1.000000");
        equal("increase(c{job=\"b\"}[9m])", 9 * minute, "{job=\"b\"} 80.000000");
        equal("irate(c{job=\"b\"}[2m])", 5 * minute, "{job=\"b\"} 0.000000");
    });
    story.section("selectors skip samples that are stale or older than the lookback", [&] {
        equal("g", minute, "g{job=\"a\"} 2.000000");
        equal("g", 2 * minute, "");
        equal("g", 6 * minute + 4 * minute, "g{job=\"a\"} 5.000000");
        equal("g", 6 * minute + 5 * minute, "");
        equal("absent(g{job=\"a\"})", 3 * minute, "{job=\"a\"} 1.000000");
        equal("avg_over_time(g[10m])", 6 * minute, "{job=\"a\"} 2.666667");
        equal("g offset 1m", 2 * minute, "g{job=\"a\"} 2.000000");
    });
    story.section("operators follow precedence and vector matching", [&] {
        equal("c > 35", 4 * minute, "c{job=\"a\"} 40.000000; c{job=\"b\"} 40.000000");
        equal("c > bool 45", 5 * minute, "{job=\"a\"} 1.000000; {job=\"b\"} 0.000000");
        equal("2 ^ 3 ^ 0 * 4 - 1", 0, "{} 7.000000");
        equal("-2 ^ 2", 0, "{} -4.000000");
        equal("c / on (job) c", 3 * minute, "{job=\"a\"} 1.000000; {job=\"b\"} 1.000000");
        equal("c and on (job) g", minute, "c{job=\"a\"} 10.000000");
        equal("c unless on (job) g", minute, "c{job=\"b\"} 10.000000");
        equal("sum(c) or vector(1)", minute, "{} 20.000000");
        equal("c - ignoring (job) group_left () sum(c)", minute, "{job=\"a\"} -10.000000; {job=\"b\"} -10.000000");
        equal("vector(0) / 0 == vector(0) / 0 or vector(7)", 0, "{} 7.000000");
    });
    story.section("aggregations group by labels and quantiles interpolate buckets", [&] {
        equal("sum without (job) (c)", minute, "{} 20.000000");
        equal("topk(1, c)", 6 * minute, "c{job=\"a\"} 60.000000");
        equal("count(c == 60)", 6 * minute, "{} 1.000000");
        equal("histogram_quantile(0.75, h_bucket)", minute, "{} 1.500000");
        equal("scalar(c)", minute, "{} nan");
    });
    story.section("several matches in a one-to-one operation are an error", [&] {
        bool hasFailed = false;
        try {
            evaluate(store, "sum(c) * on () c", minute);
        } catch (const alerts::EvaluationError &) {
            hasFailed = true;
        }
        story.check(hasFailed, "an EvaluationError, as the published semantics define");
    });
}

Test(alerts, unsupported_or_malformed_expressions_are_rejected)
{
    tests::Story story;
    const auto expectErrorAt = [&](const std::string &text, std::size_t column) {
        story.check(errorColumn(text) == column,
                    text + " to be rejected at column " + std::to_string(column) + ", got " + std::to_string(errorColumn(text)));
    };
    expectErrorAt("rate(c)", 6);
    expectErrorAt("rate(c[5m]", 11);
    expectErrorAt("predict_linear(c[5m], 60)", 1);
    expectErrorAt("rate(c[5m])[1h:5m]", 12);
    expectErrorAt("(c)[5m]", 4);
    expectErrorAt("c @ 5", 3);
    expectErrorAt("1 > 2", 3);
    expectErrorAt("{a=\"\"}", 1);
    expectErrorAt("c{a=~\"(\"}", 6);
    expectErrorAt("sum(c", 6);
    expectErrorAt("c and 1", 3);
    expectErrorAt("c[5]", 3);
    expectErrorAt("5m", 1);
    expectErrorAt("c ~ d", 3);
    expectErrorAt(std::string(500, '('), 201);
    tests::holds("any text parses or is rejected at a column within the text",
                 [](const std::string &text) { RC_ASSERT(errorColumn(text) <= text.size() + 1); });
    tests::holds("a mutated rule parses or is rejected at a column within the text", [] {
        std::string text =
            "sum by (job) (rate(c{a=~\"5..\",b!=\"x\"}[5m] offset 1h)) / ignoring (z) group_left (q) d > bool 0.5e-3 or absent(e)";
        for (int edit = *rc::gen::inRange(1, 6); edit > 0; --edit) {
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::elementOf(std::string("()[]{}=~!<>,+-*/%^@\"'5mhabc \\#"));
        }
        RC_ASSERT(errorColumn(text) <= text.size() + 1);
    });
}

Test(alerts, rates_and_sums_keep_their_algebraic_properties)
{
    tests::holds("the rate of a counter is never negative, and sums are associative", [] {
        alerts::SampleStore store(60 * minute);
        for (const auto *job : {"a", "b", "c"}) {
            double value = 0;
            for (int step = 0; step <= 10; ++step) {
                value = *rc::gen::inRange(0, 5) == 0 ? 0 : value + *rc::gen::inRange(0, 100);
                store.add({{"__name__", "c"}, {"job", job}, {"half", *job == 'a' ? "1" : "2"}}, {step * minute, value, false});
            }
        }
        const auto direct = evaluate(store, "sum(rate(c[5m]))", 10 * minute);
        RC_ASSERT(direct.find('-') == std::string::npos);
        RC_ASSERT(evaluate(store, "sum(sum by (half) (rate(c[5m])))", 10 * minute) == direct);
    });
}

namespace
{
// Returns the times at which an alert of the group starts to fire (positive) or is resolved (negative). A new tracker takes over
// the encoded state in each round that `failovers` marks.
std::vector<alerts::Millis> transitionTimes(const alerts::SampleStore &store, const alerts::RuleGroup &group,
                                            const std::vector<bool> &failovers)
{
    std::vector<alerts::Millis> times;
    auto tracker = std::make_unique<alerts::AlertTracker>();
    const alerts::Evaluator evaluator(store);
    for (std::size_t round = 0; round < failovers.size(); ++round) {
        if (failovers[round]) {
            const auto state = tracker->encodeState();
            tracker = std::make_unique<alerts::AlertTracker>();
            tracker->mergeState(state);
        }
        const auto now = static_cast<alerts::Millis>(round) * minute;
        for (const auto &transition : tracker->evaluate(group, evaluator, now)) {
            times.push_back(transition.alert.state == alerts::AlertState::Firing ? now : -now);
        }
    }
    return times;
}
} // namespace

Test(alerts, failover_does_not_change_alert_transitions)
{
    tests::holds("a failover between evaluators does not change when an alert fires or is resolved", [] {
        alerts::SampleStore store(600 * minute);
        constexpr int rounds = 40;
        for (int round = 0; round < rounds; ++round) {
            store.add({{"__name__", "g"}, {"job", "a"}}, {round * minute, static_cast<double>(*rc::gen::inRange(0, 4)), false});
        }
        alerts::AlertRule rule;
        rule.alert = "High";
        rule.expression = alerts::parseExpression("g > 0");
        rule.holdFor = *rc::gen::inRange(0, 4) * minute;
        rule.keepFiringFor = *rc::gen::inRange(0, 4) * minute;
        const alerts::RuleGroup group {"group", minute, {rule}};
        const auto failovers = *rc::gen::container<std::vector<bool>>(rounds, rc::gen::arbitrary<bool>());
        RC_ASSERT(transitionTimes(store, group, failovers) == transitionTimes(store, group, std::vector<bool>(rounds, false)));
    });
}

Test(alerts, mapped_metrics_are_found_by_legacy_names)
{
    tests::Story story;
    alerts::SampleStore store(60 * minute);
    addSamples(store, {{"__name__", "figpulley_attempts_total"}, {"service", "motivi"}, {"retry", "true"}}, "0+6x10", minute);
    addSamples(store, {{"__name__", "figpulley_attempts_total"}, {"service", "motivi"}, {"retry", "false"}}, "0+60x10", minute);
    alerts::MetricMapping mapping;
    mapping.add("retries", {"figpulley_attempts_total", {{"job", "service"}}, {{"retry", "true"}}});
    const alerts::MappedSampleSource source(store, mapping);
    story.equal(evaluate(source, "retries{job=~\"mot.*\"}", minute), std::string("retries{job=\"motivi\"} 6.000000"),
                "a selector with legacy names to return the mapped series");
    story.equal(evaluate(source, "sum by (job) (rate(retries[5m]))", 5 * minute), std::string("{job=\"motivi\"} 0.100000"),
                "an aggregation by a legacy label to use the mapped series");
}
