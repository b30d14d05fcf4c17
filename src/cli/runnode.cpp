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

constexpr core::Duration signalPoll = 20ms;

leaf::result<node::NodeSettings> loadSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    text::Problems problems;
    auto settings = node::readNodeSettings(path, text, problems);
    for (const auto &problem : problems) {
        fmt::print(stderr, "{}\n", text::describe(problem));
    }
    if (!settings) {
        return core::failure(core::ErrorKind::InvalidFile, "the settings are not valid");
    }
    return std::move(*settings);
}

// The first signal drains, the second ends at once and says what it cut.
int serve(const node::NodeSettings &settings)
{
    core::setLogLevel(settings.logLevel);
    watchSignals();
    net::EventLoop loop;
    node::Node node(loop, settings);
    node.start();
    int seen = 0;
    std::size_t cut = 0;
    const auto end = [&](std::size_t cutCalls) {
        cut = cutCalls;
        loop.stop();
    };
    loop.callEvery(signalPoll, [&] {
        const auto received = signalsReceived();
        if (received == seen) {
            return;
        }
        if (seen == 0) {
            node.stop(end);
        }
        if (received > 1) {
            end(node.callsInFlight());
        }
        seen = received;
    });
    loop.run();
    core::log(cut == 0 ? core::LogLevel::Info : core::LogLevel::Warning, "node.stopped", {{"calls_cut", fmt::to_string(cut)}});
    return cut == 0 ? exitOk : exitFailed;
}
} // namespace

int runNode(const std::vector<std::string> &arguments)
{
    auto options = makeOptions("node", "Runs one node beside the upstream of this VM. SIGTERM drains it.");
    options.add_options()("settings", "settings file, JSON with comments", cxxopts::value<std::string>());
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    if (parsed.count("settings") == 0) {
        usageError("--settings is needed");
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
