#include "cli/command.h"
#include "cli/commands.h"
#include "cli/options.h"
#include "cli/reference.h"

#include <fmt/format.h>

namespace figpulley::cli
{
int runReference(const std::vector<std::string> &arguments)
{
    auto options = makeOptions("reference", "Prints the reference of settings, files and error kinds as Markdown.");
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    fmt::print("{}", referencePage());
    return exitOk;
}
} // namespace figpulley::cli
