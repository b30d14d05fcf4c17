#include "alerts/alerttest.h"
#include "alerts/rulefile.h"
#include "cli/command.h"
#include "cli/commands.h"
#include "cli/files.h"
#include "cli/options.h"
#include "config/load.h"

#include <filesystem>

#include <fmt/format.h>

namespace figpulley::cli
{
namespace
{
namespace leaf = core::leaf;

void printProblems(const text::Problems &problems)
{
    for (const auto &problem : problems) {
        fmt::print(stderr, "{}\n", text::describe(problem));
    }
}

leaf::result<bool> runTestFile(const std::string &path)
{
    BOOST_LEAF_AUTO(source, readFile(path));
    text::Problems problems;
    const auto file = alerts::readAlertTests(path, source, problems);
    std::vector<config::SourceFile> ruleFiles;
    for (const auto &name : file.ruleFiles) {
        const auto rulePath = (std::filesystem::path(path).parent_path() / name).string();
        BOOST_LEAF_AUTO(text, readFile(rulePath));
        ruleFiles.push_back({name, std::move(text)});
    }
    const auto configuration = config::load(ruleFiles, problems);
    printProblems(problems);
    if (text::hasErrors(problems)) {
        return false;
    }
    std::size_t failed = 0;
    for (const auto &test : file.tests) {
        const auto differences = alerts::runAlertTest(test, *configuration->alertRules);
        fmt::print("{}  {}\n", differences.empty() ? "ok  " : "FAIL", test.name);
        for (const auto &difference : differences) {
            fmt::print("      {}\n", difference);
        }
        failed += differences.empty() ? 0 : 1;
    }
    fmt::print("{}: {} tests, {} failed\n", path, file.tests.size(), failed);
    return failed == 0;
}
} // namespace

int runTestAlerts(const std::vector<std::string> &arguments)
{
    auto options = makeOptions(
        "test-alerts", "Runs unit tests of alert rules; a test gives input series and the alerts expected at given times.", "FILE...");
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    const auto paths = positionalArguments(parsed);
    if (paths.empty()) {
        throwUsageError("at least one file is required");
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            bool allPassed = true;
            for (const auto &path : paths) {
                BOOST_LEAF_AUTO(filePassed, runTestFile(path));
                allPassed = allPassed && filePassed;
            }
            return allPassed ? exitOk : exitFailed;
        },
        [](const core::ErrorDetail &detail) {
            fmt::print(stderr, "figpulley test-alerts: {}\n", detail.text);
            return exitFailed;
        },
        [] { return exitFailed; });
}
} // namespace figpulley::cli
