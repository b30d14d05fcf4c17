#include "cli/command.h"
#include "cli/commands.h"
#include "cli/files.h"
#include "cli/options.h"
#include "explain/explain.h"

#include <filesystem>
#include <sstream>

#include <fmt/format.h>

namespace figpulley::cli
{
namespace
{
namespace leaf = core::leaf;

leaf::result<std::vector<explain::LogLine>> readLogLines(const std::vector<std::string> &paths)
{
    std::vector<explain::LogLine> lines;
    for (const auto &path : paths) {
        BOOST_LEAF_AUTO(text, readFile(path));
        const auto origin = std::filesystem::path(path).stem().string();
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);) {
            if (auto parsed = explain::parseLogLine(origin, line)) {
                lines.push_back(std::move(*parsed));
            }
        }
    }
    return lines;
}
} // namespace

int runExplain(const std::vector<std::string> &arguments)
{
    auto options = makeOptions("explain", "Prints the log lines of all nodes about one request, and the cause of its failure.", "FILE...");
    options.add_options()("id", "request id of the client's attempt", cxxopts::value<std::string>());
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    const auto paths = positionalArguments(parsed);
    if (paths.empty() || parsed.count("id") == 0) {
        throwUsageError("--id and at least one log file are required");
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(lines, readLogLines(paths));
            const auto trace = explain::traceRequest(lines, parsed["id"].as<std::string>());
            for (const auto &line : trace.lines) {
                fmt::print("{:<12} {}\n", line.origin, line.text);
            }
            fmt::print("cause: {}\n", trace.cause);
            return trace.lines.empty() ? exitFailed : exitOk;
        },
        [](const core::ErrorDetail &detail) {
            fmt::print(stderr, "figpulley explain: {}\n", detail.text);
            return exitFailed;
        },
        [] { return exitFailed; });
}
} // namespace figpulley::cli
