#include "bench/experiment.h"
#include "bench/summary.h"
#include "cli/command.h"
#include "cli/commands.h"
#include "cli/options.h"
#include "core/log.h"

#include <fstream>

#include <fmt/format.h>

namespace figpulley::cli
{
namespace
{
bench::ExperimentOptions readExperimentOptions(const cxxopts::ParseResult &parsed)
{
    bench::ExperimentOptions experiment;
    experiment.deployment = parsed["deployment"].as<std::string>();
    experiment.seed = parsed["seed"].as<std::uint64_t>();
    experiment.disturbedSeconds = parsed["seconds"].as<double>();
    experiment.isQuiet = parsed.count("json") > 0;
    const auto scenario = bench::scenarioFromName(parsed["scenario"].as<std::string>());
    const auto control = bench::controlModeFromName(parsed["control"].as<std::string>());
    const auto limit = config::limitAlgorithmFromName(parsed["limit"].as<std::string>());
    if (!scenario) {
        throwUsageError("--scenario must be steady, surge, deep-slow, deep-slow-retrying, cold-start or lying-load");
    }
    if (!control) {
        throwUsageError("--control must be full, none, per-hop-retries or static-limit");
    }
    if (!limit) {
        throwUsageError("--limit must be probing, gradient, aimd, pid or fixed");
    }
    if (bench::findDeployment(experiment.deployment) == nullptr) {
        throwUsageError("--deployment must be caltagirone or kovacic");
    }
    experiment.scenario = *scenario;
    experiment.control = *control;
    experiment.limit = *limit;
    return experiment;
}

void printReport(const bench::ExperimentReport &report)
{
    fmt::print("{} {} control={} seed={}\n", report.options.deployment, name(report.options.scenario), name(report.options.control),
               report.options.seed);
    fmt::print("  goodput {:.1f}% of what the deep service can do, recovery {:.1f} s, wasted work {:.1f}%\n", report.goodputRatio * 100,
               report.recoverySeconds, report.wastedWorkRatio * 100);
    for (const auto &priority : report.priorities) {
        fmt::print("  {:<12} offered {:>7}  good {:>7}  shed {:>7}  failed {:>6}\n", priority.name, priority.offered, priority.good,
                   priority.shed, priority.failed);
    }
    fmt::print("  attempts per root {:.3f} (largest {}), added latency p50 {:.0f} us, p99 {:.0f} us\n", report.attemptsMean,
               report.attemptsMax, report.addedP50Us, report.addedP99Us);
    fmt::print("  repeats {}  not run but ran {}  short or foreign {}\n", report.nonIdempotentRepeats, report.notRunButRan,
               report.foreignResponses);
}
} // namespace

int runBench(const std::vector<std::string> &arguments)
{
    auto options = makeOptions("bench", "Runs one experiment with real nodes and stand-ins on loopback, in this process.");
    options.add_options()("deployment", "caltagirone or kovacic", cxxopts::value<std::string>()->default_value("caltagirone"));
    options.add_options()("scenario", "steady, surge, deep-slow, deep-slow-retrying, cold-start, lying-load",
                          cxxopts::value<std::string>()->default_value("surge"));
    options.add_options()("control", "full, none, per-hop-retries, static-limit", cxxopts::value<std::string>()->default_value("full"));
    options.add_options()("limit", "probing, gradient, aimd, pid, fixed", cxxopts::value<std::string>()->default_value("probing"));
    options.add_options()("seed", "seed of arrivals and decisions", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("seconds", "duration of the disturbance, in seconds", cxxopts::value<double>()->default_value("5"));
    options.add_options()("json", "print the report as one JSON object");
    options.add_options()("plot", "file for a plot of goodput over time, as SVG", cxxopts::value<std::string>());
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    core::setLogLevel(core::LogLevel::Warning);
    const auto report = bench::runExperiment(readExperimentOptions(parsed));
    if (parsed.count("plot") > 0) {
        std::ofstream(parsed["plot"].as<std::string>()) << bench::toSvg(report);
    }
    if (parsed.count("json") > 0) {
        fmt::print("{}\n", bench::toJson(report));
    } else {
        printReport(report);
    }
    return report.invariantsHold() ? exitOk : exitFailed;
}
} // namespace figpulley::cli
