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
constexpr core::Duration settingsCheck = std::chrono::seconds(5); // for changes of the file that no signal tells of

leaf::result<mesh::MeshSettings> loadSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    text::Problems problems;
    auto settings = mesh::readMeshSettings(path, text, problems);
    for (const auto &problem : problems) {
        fmt::print(stderr, "{}\n", text::describe(problem));
    }
    if (!settings) {
        return core::failure(core::ErrorKind::InvalidFile, "the settings are not valid");
    }
    return std::move(*settings);
}

// Reloads the settings file when it was changed. A broken file changes nothing.
class SettingsFile
{
public:
    SettingsFile(std::string path, mesh::MeshNode &node)
        : path(std::move(path))
        , node(node)
        , lastText(this->text())
    {
    }

    void reload(std::string_view cause)
    {
        auto now = this->text();
        if (now == this->lastText) {
            return;
        }
        this->lastText = std::move(now);
        text::Problems problems;
        const auto settings = mesh::readMeshSettings(this->path, this->lastText, problems);
        if (!settings) {
            const auto reason = problems.empty() ? std::string("unreadable") : text::describe(problems.front());
            core::log(core::LogLevel::Error, "settings.refused", {{"cause", std::string(cause)}, {"reason", reason}});
            return;
        }
        const bool isWhole = this->node.reload(*settings);
        core::log(core::LogLevel::Info, "settings.reloaded",
                  {{"cause", std::string(cause)}, {"needs_restart", isWhole ? "false" : "true"}});
    }

private:
    [[nodiscard]] std::string text() const
    {
        return leaf::try_handle_all([this]() -> leaf::result<std::string> { return readFile(this->path); }, [] { return std::string(); });
    }

    std::string path;
    mesh::MeshNode &node;
    std::string lastText;
};

// The first signal drains, the second ends at once.
int serve(const std::string &path, const mesh::MeshSettings &settings)
{
    core::setLogLevel(settings.logLevel);
    core::BoundedLog lines(STDOUT_FILENO);
    core::setLogSink(&lines);
    net::EventLoop loop;
    loop.onIterationEnd([&] {
        if (lines.hasPendingLines()) {
            lines.flush();
        }
    });
    net::HttpClient client(loop);
    const platform::PlatformWireFormat wire;
    platform::PlatformStore store(client, settings.store.toString());
    mesh::MeshNode node(loop, client, settings, wire, store);
    std::size_t cut = 0;
    const auto end = [&](std::size_t cutRequests) {
        cut = cutRequests;
        loop.stop();
    };
    SettingsFile file(path, node);
    const auto stop = [&](int received) {
        if (received == 1) {
            node.stop(end);
        } else {
            loop.stop();
        }
    };
    const SignalWatch signals(loop, stop, [&] { file.reload("SIGHUP"); });
    loop.callEvery(settingsCheck, [&] { file.reload("changed file"); });
    node.start();
    loop.run();
    core::log(cut == 0 ? core::LogLevel::Info : core::LogLevel::Warning, "node.stopped", {{"requests_cut", fmt::to_string(cut)}});
    core::setLogSink(nullptr);
    return cut == 0 ? exitOk : exitFailed;
}
} // namespace

int runMesh(const std::vector<std::string> &arguments)
{
    auto options =
        makeOptions("mesh", "Runs one node beside an endpoint, with peers found through the platform's store. SIGTERM drains it.");
    options.add_options()("settings", fmt::format("settings file, JSON with comments; else the path in {}", settingsVariable),
                          cxxopts::value<std::string>());
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    const auto *fromEnvironment = std::getenv(settingsVariable);
    if (parsed.count("settings") == 0 && fromEnvironment == nullptr) {
        usageError(fmt::format("--settings or {} is needed", settingsVariable));
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
