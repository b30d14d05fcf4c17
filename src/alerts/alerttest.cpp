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

constexpr std::size_t maxValues = 100'000;
constexpr Millis storeRetention = 400LL * 24 * 60 * 60 * millisPerSecond;

constexpr std::array fileKeys {
    KeySpec {"kind", KeyType::String, "", 1, 64, "always \"alert-tests\""},
    KeySpec {"rules", KeyType::Strings, "", 1, 100, "rule and mapping files, relative to this file"},
    KeySpec {"tests", KeyType::Objects, "", 1, 1000, "the tests"},
};
constexpr std::array testKeys {
    KeySpec {"name", KeyType::String, "", 1, 256, "description of the tested behavior"},
    KeySpec {"interval", KeyType::String, "\"1m\"", 1, 32, "time between two values of a series"},
    KeySpec {"series", KeyType::Objects, "", 0, 10000, "input series"},
    KeySpec {"expect", KeyType::Objects, "", 1, 1000, "expected alerts"},
};
constexpr std::array seriesKeys {
    KeySpec {"series", KeyType::String, "", 1, 4096, "metric name and labels, such as up{job=\"a\"}"},
    KeySpec {"values", KeyType::String, "", 1, 65536, "values, such as 0+10x5 _ 3 stale"},
};
constexpr std::array expectKeys {
    KeySpec {"at", KeyType::String, "", 1, 32, "time since the start of the test"},
    KeySpec {"alert", KeyType::String, "", 1, 256, "name of the alert"},
    KeySpec {"firing", KeyType::Objects, "[]", 0, 1000, "labels of each alert that fires at this time"},
};
const text::SectionSpec fileSection {"alert-tests", "Unit tests of alert rules.", fileKeys};
const text::SectionSpec testSection {"alert-tests test", "One test.", testKeys};
const text::SectionSpec seriesSection {"alert-tests series", "One input series.", seriesKeys};
const text::SectionSpec expectSection {"alert-tests expectation", "Alerts that fire at one instant.", expectKeys};

// Parses a series, which is written as a selector with equality matchers only.
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

Labels readLabels(const text::Value &value)
{
    Labels labels;
    for (const auto &member : *value.as<text::Object>()) {
        if (const auto *text = member.value.as<std::string>()) {
            labels.set(member.key, *text);
        }
    }
    return labels;
}

Millis readDuration(const ObjectReader &reader, std::string_view key)
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
    const auto interval = readDuration(reader, "interval");
    for (const auto *item : reader.objects("series")) {
        const ObjectReader series(file, *item, seriesSection, problems);
        const auto labels = parseSeriesLabels(series.string("series"));
        const auto samples = parseTestValues(series.string("values"), interval);
        if (!labels) {
            series.report("series", "\"series\" must be a metric name with labels, such as up{job=\"a\"}");
        }
        if (!samples) {
            series.report("values", "\"values\" must hold numbers, start+stepxcount, _ or stale, separated by spaces");
        }
        if (labels && samples) {
            test.series.push_back({*labels, *samples});
        }
    }
    for (const auto *item : reader.objects("expect")) {
        const ObjectReader expect(file, *item, expectSection, problems);
        ExpectedAlerts expected {readDuration(expect, "at"), expect.string("alert"), {}};
        for (const auto *labels : expect.objects("firing")) {
            expected.firing.push_back(readLabels(*labels));
        }
        test.expected.push_back(std::move(expected));
    }
    return test;
}

// Appends the values of one word: a number, start+stepxcount, a gap or a stale marker. Returns false if it is malformed.
bool appendValues(std::string_view word, std::vector<std::optional<Sample>> &values)
{
    const auto countMark = word.rfind('x');
    std::size_t count = 1;
    if (countMark != std::string_view::npos) {
        const auto text = word.substr(countMark + 1);
        const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), count);
        if (error != std::errc {} || stop != text.data() + text.size() || count > maxValues) {
            return false;
        }
    }
    const std::string body(word.substr(0, countMark));
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
        if (end == begin || *end != '\0' || countMark == std::string_view::npos) {
            return false;
        }
    }
    // start+stepxcount yields count + 1 values: the start and one for each step.
    const auto last = countMark == std::string_view::npos ? 0 : count;
    for (std::size_t index = 0; index <= last; ++index) {
        values.push_back(Sample {0, start + step * static_cast<double>(index), false});
    }
    return true;
}

std::set<Labels> firingLabels(const std::vector<Alert> &active, const std::string &alert)
{
    std::set<Labels> firing;
    for (const auto &item : active) {
        if (item.state == AlertState::Firing && item.labels.get("alertname") == alert) {
            firing.insert(item.labels.without({"alertname"}));
        }
    }
    return firing;
}

std::string describeLabelSets(const std::set<Labels> &set)
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
        if (!appendValues(word, values) || values.size() > maxValues) {
            return std::nullopt;
        }
    }
    std::vector<Sample> samples;
    for (std::size_t index = 0; index < values.size(); ++index) {
        if (values[index]) {
            samples.push_back(*values[index]);
            samples.back().timestamp = static_cast<Millis>(index) * interval;
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
    SampleStore store(storeRetention);
    for (const auto &series : test.series) {
        for (const auto &sample : series.samples) {
            store.add(series.labels, sample);
        }
    }
    const MappedSampleSource source(store, rules.mapping);
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
        const std::set<Labels> expectedLabels(item.firing.begin(), item.firing.end());
        const auto actual = firingLabels(tracker.activeAlerts(), item.alert);
        if (actual != expectedLabels) {
            differences.push_back(fmt::format("{} s, {}: expected {}; firing {}", item.at / millisPerSecond, item.alert,
                                              describeLabelSets(expectedLabels), describeLabelSets(actual)));
        }
    }
    return differences;
}
} // namespace figpulley::alerts
