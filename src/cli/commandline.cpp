#include "cli/command.h"
#include "cli/commands.h"
#include "core/error.h"

#include <algorithm>
#include <array>

#include <cxxopts.hpp>
#include <fmt/format.h>

namespace figpulley::cli
{
namespace
{
constexpr std::array commandTable {
    Command {"node", "--settings FILE", "run a node next to the upstream on this VM", &runNode},
    Command {"mesh", "--settings FILE", "run a node that discovers its peers through the platform's store", &runMesh},
    Command {"check", "FILE...", "validate operators' files without applying them", &runCheck},
    Command {"apply", "--platform IP:PORT FILE...", "replace the active configuration with a set of files", &runApply},
    Command {"status", "--node IP:PORT...", "show the active configuration and the state of nodes and services", &runStatus},
    Command {"history", "--platform IP:PORT", "show the audit trail of configuration changes", &runHistory},
    Command {"explain", "--id ID FILE...", "show the log lines of all nodes about one request, and why it failed", &runExplain},
    Command {"test-alerts", "FILE...", "run unit tests of alert rules", &runTestAlerts},
    Command {"capacity", "", "measure the cost of control per node, for docs/CAPACITY.md", &runCapacity},
    Command {"bench", "--deployment NAME --scenario NAME", "run an experiment on real nodes and stand-ins", &runBench},
    Command {"demo", "", "show an overload with and without control, in one process", &runDemo},
    Command {"standin", "platform|upstream", "run a stand-in for the platform or for an upstream", &runStandin},
    Command {"reference", "", "print the reference of settings, files and error kinds as Markdown", &runReference},
    Command {"help", "[COMMAND]", "print this help", &runHelp},
};

const Command *findCommand(std::string_view name)
{
    const auto found =
        std::find_if(commandTable.begin(), commandTable.end(), [name](const Command &command) { return command.name == name; });
    return found == commandTable.end() ? nullptr : &*found;
}

int runAndReportErrors(const Command &command, const std::vector<std::string> &arguments)
{
    try {
        return command.run(arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "figpulley {}: {}\nusage: figpulley {} {}\n", command.name, error.what(), command.name, command.arguments);
        return exitUsage;
    } catch (const std::exception &error) {
        fmt::print(stderr, "figpulley {}: {}\n", command.name, error.what());
        return exitFailed;
    }
}
} // namespace

std::span<const Command> commands() noexcept
{
    return commandTable;
}

int runHelp(const std::vector<std::string> &arguments)
{
    if (!arguments.empty()) {
        const auto *command = findCommand(arguments.front());
        if (command == nullptr) {
            fmt::print(stderr, "figpulley: unknown command \"{}\"\n", arguments.front());
            return exitUsage;
        }
        return runAndReportErrors(*command, {"--help"});
    }
    fmt::print("figpulley keeps service call graphs working under overload.\n\nusage: figpulley COMMAND [OPTIONS]\n\n");
    for (const auto &command : commandTable) {
        fmt::print("  {:<12} {}\n", command.name, command.summary);
    }
    fmt::print("\n  --version  print the version\n\n`figpulley help COMMAND` shows the options of a command.\n"
               "Exit codes: 0 success, 1 failure or invalid files, 2 wrong usage.\n");
    return exitOk;
}

int runCommandLine(const std::vector<std::string> &arguments)
{
    if (arguments.empty()) {
        runHelp({});
        return exitUsage;
    }
    if (arguments.front() == "--version") {
        fmt::print("figpulley {}\n", FIGPULLEY_VERSION);
        return exitOk;
    }
    const bool isHelp = arguments.front() == "--help" || arguments.front() == "-h";
    const auto *command = findCommand(isHelp ? "help" : arguments.front());
    if (command == nullptr) {
        fmt::print(stderr, "figpulley: unknown command \"{}\"; see figpulley help\n", arguments.front());
        return exitUsage;
    }
    return runAndReportErrors(*command, {arguments.begin() + 1, arguments.end()});
}
} // namespace figpulley::cli
