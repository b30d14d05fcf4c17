#include "alerts/alerttest.h"

#include "alerts/alerttracker.h"
#include "alerts/parser.h"
#include "alerts/samplestore.h"
#include "text/objectreader.h"
#include "text/parse.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <set>
#include <sstream>

#include <fmt/format.h>

namespace figpulley::alerts
{
namespace
{
using text::KeySpec;
using text::KeyType;
using text::ObjectReader;

constexpr std::size_t mostValues = 100'000;
constexpr Millis storeWindow = 400LL * 24 * 60 * 60 * millisPerSecond;

constexpr std::array fileKeys {
    KeySpec {"kind", KeyType::String, "", 1, 64, "always \"alert-tests\""},
    KeySpec {"rules", KeyType::Strings, "", 1, 100, "rule and mapping files, relative to this file"},
    KeySpec {"tests", KeyType::Objects, "", 1, 1000, "the tests"},
};
constexpr std::array testKeys {
    KeySpec {"name", KeyType::String, "", 1, 256, "what the test shows"},
    KeySpec {"interval", KeyType::String, "\"1m\"", 1, 32, "distance of the series' values"},
    KeySpec {"series", KeyType::Objects, "", 0, 10000, "input series"},
    KeySpec {"expect", KeyType::Objects, "", 1, 1000, "expected alerts"},
};
constexpr std::array seriesKeys {
    KeySpec {"series", KeyType::String, "", 1, 4096, "name and labels"},
    KeySpec {"values", KeyType::String, "", 1, 65536, "values, such as 0+10x5 _ 3 stale"},
};
constexpr std::array expectKeys {
    KeySpec {"at", KeyType::String, "", 1, 32, "time since the start"},
    KeySpec {"alert", KeyType::String, "", 1, 256, "name of the alert"},
    KeySpec {"firing", KeyType::Objects, "[]", 0, 1000, "labels of each alert that fires then"},
};
const text::SectionSpec fileSection {"alert-tests", "Unit tests of alert rules.", fileKeys};
const text::SectionSpec testSection {"alert-tests test", "One test.", testKeys};
const text::SectionSpec seriesSection {"alert-tests series", "One input series.", seriesKeys};
const text::SectionSpec expectSection {"alert-tests expectation", "What fires at one instant.", expectKeys};

// A series is written like a selector with equal matchers only.
std::optional<Labels> parseSeriesLabels(const std::string &text)
{
    try {
        const auto selector = parseExpression(text);
        Labels labels;
        for (const auto &matcher : selector->matchers) {
            if (matcher.kind() != MatchKind::Equal) {
                return std::nullopt;
            }
            labels.set(matcher.label(), matcher.pattern());
        }
        return labels;
    } catch (const ExpressionError &) {
        return std::nullopt;
    }
}

Labels labelsOf(const text::Value &value)
{
    Labels labels;
    for (const auto &member : *value.as<text::Object>()) {
        if (const auto *text = member.value.as<std::string>()) {
            labels.set(member.key, *text);
        }
    }
    return labels;
}

Millis durationOf(const ObjectReader &reader, std::string_view key)
{
    const auto duration = parseDuration(reader.string(key));
    if (!duration) {
        reader.report(key, fmt::format("\"{}\" must be a duration such as 5m", key));
    }
    return duration.value_or(0);
}

AlertTest readTest(const std::string &file, const text::Value &value, text::Problems &problems)
{
    const ObjectReader reader(file, value, testSection, problems);
    AlertTest test;
    test.name = reader.string("name");
    const auto interval = durationOf(reader, "interval");
    for (const auto *item : reader.objects("series")) {
        const ObjectReader series(file, *item, seriesSection, problems);
        const auto labels = parseSeriesLabels(series.string("series"));
        const auto samples = parseTestValues(series.string("values"), interval);
        if (!labels) {
            series.report("series", "\"series\" must be a name with labels, such as up{job=\"a\"}");
        }
        if (!samples) {
            series.report("values", "\"values\" must be numbers, start+stepxcount, _ or stale");
        }
        if (labels && samples) {
            test.series.push_back({*labels, *samples});
        }
    }
    for (const auto *item : reader.objects("expect")) {
        const ObjectReader expect(file, *item, expectSection, problems);
        ExpectedAlerts expected {durationOf(expect, "at"), expect.string("alert"), {}};
        for (const auto *labels : expect.objects("firing")) {
            expected.firing.push_back(labelsOf(*labels));
        }
        test.expected.push_back(std::move(expected));
    }
    return test;
}

// One word of the values: a number, start+stepxcount, a gap or a stale marker.
bool appendWord(std::string_view word, std::vector<std::optional<Sample>> &values)
{
    const auto times = word.rfind('x');
    std::size_t count = 1;
    if (times != std::string_view::npos) {
        const auto text = word.substr(times + 1);
        const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), count);
        if (error != std::errc {} || stop != text.data() + text.size() || count > mostValues) {
            return false;
        }
    }
    const std::string body(word.substr(0, times));
    if (body == "_") {
        values.insert(values.end(), count, std::nullopt);
        return true;
    }
    if (body == "stale") {
        values.push_back(Sample {0, 0, true});
        return true;
    }
    char *end = nullptr;
    const auto start = std::strtod(body.c_str(), &end);
    if (end == body.c_str()) {
        return false;
    }
    double step = 0;
    if (*end != '\0') {
        const char *begin = end;
        step = std::strtod(begin, &end);
        if (end == begin || *end != '\0' || times == std::string_view::npos) {
            return false;
        }
    }
    // start+stepxcount is the start and `count` steps after it.
    const auto last = times == std::string_view::npos ? 0 : count;
    for (std::size_t at = 0; at <= last; ++at) {
        values.push_back(Sample {0, start + step * static_cast<double>(at), false});
    }
    return true;
}

std::set<Labels> firingAlerts(const std::vector<Alert> &active, const std::string &alert)
{
    std::set<Labels> firing;
    for (const auto &item : active) {
        if (item.state == AlertState::Firing && item.labels.get("alertname") == alert) {
            firing.insert(item.labels.without({"alertname"}));
        }
    }
    return firing;
}

std::string describeSet(const std::set<Labels> &set)
{
    std::string text;
    for (const auto &labels : set) {
        text += (text.empty() ? "" : ", ") + labels.toString();
    }
    return text.empty() ? "nothing" : text;
}
} // namespace

std::optional<std::vector<Sample>> parseTestValues(std::string_view text, Millis interval)
{
    std::vector<std::optional<Sample>> values;
    std::istringstream stream {std::string(text)};
    std::string word;
    while (stream >> word) {
        if (!appendWord(word, values) || values.size() > mostValues) {
            return std::nullopt;
        }
    }
    std::vector<Sample> samples;
    for (std::size_t at = 0; at < values.size(); ++at) {
        if (values[at]) {
            samples.push_back(*values[at]);
            samples.back().at = static_cast<Millis>(at) * interval;
        }
    }
    return samples;
}

AlertTestFile readAlertTests(const std::string &file, const std::string &source, text::Problems &problems)
{
    AlertTestFile result;
    const auto root = text::parse(file, source, problems);
    if (!root) {
        return result;
    }
    const ObjectReader reader(file, *root, fileSection, problems);
    result.ruleFiles = reader.strings("rules");
    for (const auto *test : reader.objects("tests")) {
        result.tests.push_back(readTest(file, *test, problems));
    }
    return result;
}

std::vector<std::string> runAlertTest(const AlertTest &test, const RuleSet &rules)
{
    SampleStore store(storeWindow);
    for (const auto &series : test.series) {
        for (const auto &sample : series.samples) {
            store.add(series.labels, sample);
        }
    }
    const MappedSource source(store, rules.mapping);
    const Evaluator evaluator(source);
    AlertTracker tracker;
    std::vector<std::string> differences;
    auto expected = test.expected;
    std::stable_sort(expected.begin(), expected.end(),
                     [](const ExpectedAlerts &left, const ExpectedAlerts &right) { return left.at < right.at; });
    Millis now = 0;
    for (const auto &item : expected) {
        for (; now <= item.at; now += millisPerSecond) {
            for (const auto &group : rules.groups) {
                if (now % group.interval == 0) {
                    tracker.evaluate(group, evaluator, now);
                }
            }
        }
        const std::set<Labels> wanted(item.firing.begin(), item.firing.end());
        const auto actual = firingAlerts(tracker.active(), item.alert);
        if (actual != wanted) {
            differences.push_back(fmt::format("{} s, {}: expected {}; firing {}", item.at / millisPerSecond, item.alert,
                                              describeSet(wanted), describeSet(actual)));
        }
    }
    return differences;
}
} // namespace figpulley::alerts
