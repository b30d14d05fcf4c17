#pragma once

#include "alerts/ruleset.h"
#include "alerts/samplesource.h"
#include "text/problem.h"

#include <functional>
#include <string>
#include <vector>

namespace figpulley::alerts
{
/// One input series of a unit test.
struct TestSeries
{
    Labels labels;
    std::vector<Sample> samples;
};

/// What is expected of one alert at one instant.
struct ExpectedAlerts
{
    Millis at = 0;
    std::string alert;
    std::vector<Labels> firing; ///< labels without `alertname`
};

/// One unit test of rules.
struct AlertTest
{
    std::string name;
    std::vector<TestSeries> series;
    std::vector<ExpectedAlerts> expected;
};

/// A file of unit tests: `{"kind": "alert-tests", "rules": [...], "tests": [...]}`.
struct AlertTestFile
{
    std::vector<std::string> ruleFiles; ///< relative to the test file
    std::vector<AlertTest> tests;
};

/// Reads a file of unit tests.
[[nodiscard]] AlertTestFile readAlertTests(const std::string &file, const std::string &source, text::Problems &problems);

/// Reads values such as `0+10x5 _ 3 stale`: a start, a step and a count; gaps; stale markers.
/// @param interval distance of the values
/// @returns nothing if the text is malformed
[[nodiscard]] std::optional<std::vector<Sample>> parseTestValues(std::string_view text, Millis interval);

/// Runs a test: evaluates all groups at their intervals and compares at the expected instants.
/// @returns one line for each difference; empty if all is as expected
[[nodiscard]] std::vector<std::string> runAlertTest(const AlertTest &test, const RuleSet &rules);
} // namespace figpulley::alerts
