#include "cli/command.h"
#include "cli/commands.h"
#include "cli/files.h"
#include "cli/options.h"
#include "cli/signalwatch.h"
#include "core/log.h"
#include "node/node.h"

#include <chrono>

#include <fmt/format.h>

namespace figpulley::cli
{
namespace
{
namespace leaf = core::leaf;
using namespace std::chrono_literals;

constexpr core::Duration signalPollInterval = 20ms;

leaf::result<node::NodeSettings> loadSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    text::Problems problems;
    auto settings = node::readNodeSettings(path, text, problems);
    for (const auto &problem : problems) {
        fmt::print(stderr, "{}\n", text::describe(problem));
    }
    if (!settings) {
        return core::failure(core::ErrorKind::InvalidFile, "the settings file is not valid");
    }
    return std::move(*settings);
}

// Serves until a signal: the first starts a graceful shutdown, the second stops the process at once and reports the
// calls that it aborted.
int serve(const node::NodeSettings &settings)
{
    core::setLogLevel(settings.logLevel);
    installSignalHandlers();
    net::EventLoop loop;
    node::Node node(loop, settings);
    node.start();
    int handledSignals = 0;
    std::size_t aborted = 0;
    const auto finish = [&](std::size_t abortedCalls) {
        aborted = abortedCalls;
        loop.stop();
    };
    loop.callEvery(signalPollInterval, [&] {
        const auto received = receivedStopSignals();
        if (received == handledSignals) {
            return;
        }
        if (handledSignals == 0) {
            node.stop(finish);
        }
        if (received > 1) {
            finish(node.callsInFlight());
        }
        handledSignals = received;
    });
    loop.run();
    core::log(aborted == 0 ? core::LogLevel::Info : core::LogLevel::Warning, "node.stopped", {{"calls_cut", fmt::to_string(aborted)}});
    return aborted == 0 ? exitOk : exitFailed;
}
} // namespace

int runNode(const std::vector<std::string> &arguments)
{
    auto options = makeOptions("node", "Runs a node next to the upstream on this VM. SIGTERM starts a graceful shutdown.");
    options.add_options()("settings", "settings file, JSON with comments", cxxopts::value<std::string>());
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    if (parsed.count("settings") == 0) {
        throwUsageError("--settings is required");
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(settings, loadSettings(parsed["settings"].as<std::string>()));
            return serve(settings);
        },
        [](const core::ErrorDetail &detail) {
            fmt::print(stderr, "figpulley node: {}\n", detail.text);
            return exitFailed;
        },
        [] { return exitFailed; });
}
} // namespace figpulley::cli
