#include "bench/experiment.h"
#include "cli/command.h"
#include "cli/commands.h"
#include "cli/options.h"
#include "core/log.h"

#include <fmt/format.h>

namespace figpulley::cli
{
namespace
{
bench::ExperimentReport runOnce(bench::ControlMode control, std::uint64_t seed)
{
    bench::ExperimentOptions options;
    options.control = control;
    options.seed = seed;
    options.steadySeconds = 1;
    options.disturbedSeconds = 3;
    options.postDisturbanceSeconds = 2;
    return bench::runExperiment(options);
}

void printRow(const bench::ExperimentReport &report)
{
    fmt::print("{:<10} {:>7.0f}%", name(report.options.control), report.goodputRatio * 100);
    for (const auto &priority : report.priorities) {
        const auto share = priority.offered > 0 ? 100.0 * static_cast<double>(priority.good) / static_cast<double>(priority.offered) : 0;
        fmt::print(" {:>11.1f}%", share);
    }
    const auto recovery = report.recoverySeconds < 0 ? std::string("not") : fmt::format("{:.1f} s", report.recoverySeconds);
    fmt::print(" {:>9} {:>7.1f}% {:>8} {:>8}\n", recovery, report.wastedWorkRatio * 100, report.nonIdempotentRepeats, report.notRunButRan);
}
} // namespace

int runDemo(const std::vector<std::string> &arguments)
{
    auto options = makeOptions("demo", "Shows ten times the demand on a deep service, with and without control.");
    options.add_options()("seed", "of arrivals and decisions", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    core::setLogLevel(core::LogLevel::Warning);
    const auto seed = parsed["seed"].as<std::uint64_t>();
    fmt::print("Caltagirone: motif lookups and commissions, both with the border patterns (bordure) behind them.\n"
               "For 3 s lookups are asked for ten times as often as bordure can answer.\n\n");
    const auto none = runOnce(bench::ControlMode::None, seed);
    const auto full = runOnce(bench::ControlMode::Full, seed);
    fmt::print("{:<10} {:>8}", "control", "goodput");
    for (const auto &priority : full.priorities) {
        fmt::print(" {:>12}", priority.name);
    }
    fmt::print(" {:>9} {:>8} {:>8} {:>8}\n", "recovery", "wasted", "repeats", "false-no");
    printRow(none);
    printRow(full);
    fmt::print("\ngoodput: whole answers in time, of what bordure can do; per priority: share of calls answered during the surge;\n"
               "wasted: slot time spent for calls that failed; repeats: commissions run twice; false-no: refused as not run, yet ran.\n");
    const auto &commissions = full.priorities.back();
    const bool isHeld = full.invariantsHold() && none.invariantsHold() && commissions.good > 0;
    fmt::print("invariants: {}\n", isHeld ? "held" : "BROKEN");
    return isHeld ? exitOk : exitFailed;
}
} // namespace figpulley::cli
