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
        const auto percent = priority.offered > 0 ? 100.0 * static_cast<double>(priority.good) / static_cast<double>(priority.offered) : 0;
        fmt::print(" {:>11.1f}%", percent);
    }
    const auto recovery = report.recoverySeconds < 0 ? std::string("not") : fmt::format("{:.1f} s", report.recoverySeconds);
    fmt::print(" {:>9} {:>7.1f}% {:>8} {:>8}\n", recovery, report.wastedWorkRatio * 100, report.nonIdempotentRepeats, report.notRunButRan);
}
} // namespace

int runDemo(const std::vector<std::string> &arguments)
{
    auto options = makeOptions("demo", "Shows a tenfold overload of a service at the end of the chain, with and without control.");
    options.add_options()("seed", "seed of arrivals and decisions", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    core::setLogLevel(core::LogLevel::Warning);
    const auto seed = parsed["seed"].as<std::uint64_t>();
    fmt::print("Caltagirone: motif lookups and commissions, both call the border patterns (bordure).\n"
               "For 3 s, clients send ten times as many lookups as bordure can serve.\n\n");
    const auto none = runOnce(bench::ControlMode::None, seed);
    const auto full = runOnce(bench::ControlMode::Full, seed);
    fmt::print("{:<10} {:>8}", "control", "goodput");
    for (const auto &priority : full.priorities) {
        fmt::print(" {:>12}", priority.name);
    }
    fmt::print(" {:>9} {:>8} {:>8} {:>8}\n", "recovery", "wasted", "repeats", "false-no");
    printRow(none);
    printRow(full);
    fmt::print("\ngoodput: complete responses before the deadline, relative to the capacity of bordure;\n"
               "per priority: fraction of calls served during the surge;\n"
               "wasted: slot time spent on calls that failed; repeats: commissions that ran twice;\n"
               "false-no: calls that were reported as not run although they had run.\n");
    const auto &commissions = full.priorities.back();
    const bool areInvariantsHeld = full.invariantsHold() && none.invariantsHold() && commissions.good > 0;
    fmt::print("invariants: {}\n", areInvariantsHeld ? "held" : "BROKEN");
    return areInvariantsHeld ? exitOk : exitFailed;
}
} // namespace figpulley::cli
