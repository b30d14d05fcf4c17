#include "soak/soakrun.h"

#include "core/log.h"

#include <filesystem>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <unistd.h>

namespace
{
constexpr int usageError = 2;
} // namespace

// Runs node processes under injected faults and checks what clients and endpoints observe. Prints the result of each seed.
int main(int count, char **arguments)
{
    using namespace figpulley;
    cxxopts::Options options("figpulley-soak", "Runs node processes under randomised faults and checks the guarantees of the mesh.");
    options.add_options()("binary", "path of the figpulley program under test", cxxopts::value<std::string>())(
        "seed", "seed of the first run; each further run adds one",
        cxxopts::value<std::uint64_t>()->default_value("1"))("seeds", "number of runs", cxxopts::value<int>()->default_value("1"))(
        "seconds", "duration of the fault injection in each run, in seconds",
        cxxopts::value<int>()->default_value("12"))("vms", "number of nodes in each run", cxxopts::value<int>()->default_value("5"))(
        "untimed", "skip the checks with a time bound, which fail on a machine under load")("help", "print this text");
    cxxopts::ParseResult parsed;
    try {
        parsed = options.parse(count, arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "{}\n{}", error.what(), options.help());
        return usageError;
    }
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return 0;
    }
    if (parsed.count("binary") == 0) {
        fmt::print(stderr, "--binary is missing\n{}", options.help());
        return usageError;
    }
    core::setLogLevel(core::LogLevel::Off);
    int failed = 0;
    const auto seeds = parsed["seeds"].as<int>();
    for (int run = 0; run < seeds; ++run) {
        soak::SoakOptions soak;
        soak.binary = std::filesystem::absolute(parsed["binary"].as<std::string>());
        soak.seed = parsed["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(run);
        soak.seconds = parsed["seconds"].as<int>();
        soak.vms = parsed["vms"].as<int>();
        soak.isTimed = parsed.count("untimed") == 0;
        const auto name = fmt::format("figpulley-soak-{}-{}", getpid(), soak.seed);
        const std::filesystem::path folder = std::filesystem::temp_directory_path().append(name);
        std::filesystem::create_directories(folder);
        soak.folder = folder.string();
        const auto violations = soak::SoakRun(soak).run();
        fmt::print("seed {}: {} lines of broken promises, logs in {}\n", soak.seed, violations.size(), soak.folder);
        for (const auto &line : violations) {
            fmt::print("  {}\n", line);
        }
        std::fflush(stdout);
        if (violations.empty()) {
            std::filesystem::remove_all(folder);
        } else {
            ++failed;
        }
    }
    fmt::print("{} passed, {} failed\n", seeds - failed, failed);
    return failed == 0 ? 0 : 1;
}
