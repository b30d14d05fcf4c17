#include "cli/command.h"
#include "cli/commands.h"
#include "cli/files.h"
#include "cli/options.h"
#include "cli/signalwatch.h"
#include "core/boundedlog.h"
#include "core/log.h"
#include "mesh/meshnode.h"
#include "platform/platformstore.h"
#include "platform/platformwireformat.h"

#include <chrono>
#include <cstdlib>

#include <fmt/format.h>
#include <unistd.h>

namespace figpulley::cli
{
namespace
{
namespace leaf = core::leaf;

constexpr const char *settingsVariable = "FIGPULLEY_CONFIG";
// The settings file is polled, because it can change without a SIGHUP.
constexpr core::Duration settingsPollInterval = std::chrono::seconds(5);

leaf::result<mesh::MeshSettings> loadSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    text::Problems problems;
    auto settings = mesh::readMeshSettings(path, text, problems);
    for (const auto &problem : problems) {
        fmt::print(stderr, "{}\n", text::describe(problem));
    }
    if (!settings) {
        return core::failure(core::ErrorKind::InvalidFile, "the settings file is not valid");
    }
    return std::move(*settings);
}

// Reloads the settings file when its contents have changed. An invalid file leaves the settings of the node unchanged.
class SettingsFile
{
public:
    SettingsFile(std::string path, mesh::MeshNode &node)
        : path(std::move(path))
        , node(node)
        , loadedText(this->readText())
    {
    }

    void reload(std::string_view cause)
    {
        auto current = this->readText();
        if (current == this->loadedText) {
            return;
        }
        this->loadedText = std::move(current);
        text::Problems problems;
        const auto settings = mesh::readMeshSettings(this->path, this->loadedText, problems);
        if (!settings) {
            const auto reason = problems.empty() ? std::string("unreadable") : text::describe(problems.front());
            core::log(core::LogLevel::Error, "settings.refused", {{"cause", std::string(cause)}, {"reason", reason}});
            return;
        }
        const bool isFullyApplied = this->node.reload(*settings);
        core::log(core::LogLevel::Info, "settings.reloaded",
                  {{"cause", std::string(cause)}, {"needs_restart", isFullyApplied ? "false" : "true"}});
    }

private:
    [[nodiscard]] std::string readText() const
    {
        return leaf::try_handle_all([this]() -> leaf::result<std::string> { return readFile(this->path); }, [] { return std::string(); });
    }

    std::string path;
    mesh::MeshNode &node;
    std::string loadedText;
};

// Serves until a signal begins a graceful shutdown. Further signals do not shorten it: the platform ends the process when its grace time is
// over, and requests are in flight until then.
int serve(const std::string &path, const mesh::MeshSettings &settings)
{
    core::setLogLevel(settings.logLevel);
    core::BoundedLog logSink(STDOUT_FILENO);
    core::setLogSink(&logSink);
    net::EventLoop loop;
    loop.onIterationEnd([&] {
        if (logSink.hasPendingLines()) {
            logSink.flush();
        }
    });
    net::HttpClient client(loop);
    const platform::PlatformWireFormat wire;
    platform::PlatformStore store(client, settings.store.toString());
    mesh::MeshNode node(loop, client, settings, wire, store);
    std::size_t aborted = 0;
    const auto finish = [&](std::size_t abortedRequests) {
        aborted = abortedRequests;
        loop.stop();
    };
    SettingsFile file(path, node);
    const auto stop = [&](int received) {
        if (received > 1) {
            core::log(core::LogLevel::Info, "signal.repeated", {{"signals", fmt::to_string(received)}});
        }
        node.stop(finish);
    };
    const SignalWatch signals(loop, stop, [&] { file.reload("SIGHUP"); });
    loop.callEvery(settingsPollInterval, [&] { file.reload("changed file"); });
    node.start();
    loop.run();
    core::log(aborted == 0 ? core::LogLevel::Info : core::LogLevel::Warning, "node.stopped", {{"requests_cut", fmt::to_string(aborted)}});
    core::setLogSink(nullptr);
    return aborted == 0 ? exitOk : exitFailed;
}
} // namespace

int runMesh(const std::vector<std::string> &arguments)
{
    auto options = makeOptions(
        "mesh", "Runs a node next to an endpoint; discovers its peers through the platform's store. SIGTERM starts a graceful shutdown.");
    options.add_options()("settings", fmt::format("settings file, JSON with comments; defaults to the path in {}", settingsVariable),
                          cxxopts::value<std::string>());
    const auto parsed = parseOptions(options, arguments);
    installSignalHandlers();
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    const auto *fromEnvironment = std::getenv(settingsVariable);
    if (parsed.count("settings") == 0 && fromEnvironment == nullptr) {
        throwUsageError(fmt::format("--settings or the environment variable {} is required", settingsVariable));
    }
    const std::string path = parsed.count("settings") > 0 ? parsed["settings"].as<std::string>() : std::string(fromEnvironment);
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(settings, loadSettings(path));
            return serve(path, settings);
        },
        [](leaf::catch_<std::exception> error) {
            fmt::print(stderr, "figpulley mesh: {}\n", error.matched.what());
            return exitFailed;
        },
        [](const core::ErrorDetail &detail) {
            fmt::print(stderr, "figpulley mesh: {}\n", detail.text);
            return exitFailed;
        },
        [] { return exitFailed; });
}
} // namespace figpulley::cli
