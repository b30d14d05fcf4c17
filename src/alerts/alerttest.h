#pragma once

#include "alerts/ruleset.h"
#include "alerts/samplesource.h"
#include "text/problem.h"

#include <functional>
#include <string>
#include <vector>

namespace figpulley::alerts
{
/// Input series of a unit test.
struct TestSeries
{
    Labels labels;
    std::vector<Sample> samples;
};

/// Instances of one alert that are expected to fire at one instant.
struct ExpectedAlerts
{
    Millis at = 0; ///< time since the start of the test
    std::string alert;
    std::vector<Labels> firing; ///< labels of each firing instance, without `alertname`
};

/// Unit test of alert rules.
struct AlertTest
{
    std::string name;
    std::vector<TestSeries> series;
    std::vector<ExpectedAlerts> expected;
};

/// Content of a test file: `{"kind": "alert-tests", "rules": [...], "tests": [...]}`.
struct AlertTestFile
{
    std::vector<std::string> ruleFiles; ///< paths relative to the test file
    std::vector<AlertTest> tests;
};

/// Reads a file of unit tests.
/// @param source content of the file
/// @param problems receives the errors found
[[nodiscard]] AlertTestFile readAlertTests(const std::string &file, const std::string &source, text::Problems &problems);

/// Parses values such as `0+10x5 _ 3 stale`: `start+stepxcount` sequences, numbers, `_` for a gap and stale markers.
/// @param interval time between two values
/// @returns nothing if the text is malformed
[[nodiscard]] std::optional<std::vector<Sample>> parseTestValues(std::string_view text, Millis interval);

/// Runs a test: evaluates each group at its interval and compares the firing alerts at the expected instants.
/// @returns one line for each difference; empty if the test passes
[[nodiscard]] std::vector<std::string> runAlertTest(const AlertTest &test, const RuleSet &rules);
} // namespace figpulley::alerts
