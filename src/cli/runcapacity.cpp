#include "bench/capacity.h"
#include "cli/command.h"
#include "cli/commands.h"
#include "cli/options.h"

#include <fmt/format.h>

namespace figpulley::cli
{
int runCapacity(const std::vector<std::string> &arguments)
{
    auto options =
        makeOptions("capacity", "Measures how the cost of control grows with its load, and prints the table of docs/CAPACITY.md.");
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    fmt::print("{}", bench::makeCapacityTable());
    return exitOk;
}
} // namespace figpulley::cli
