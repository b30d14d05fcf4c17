#include "cli/command.h"
#include "cli/commands.h"
#include "cli/files.h"
#include "cli/options.h"

#include <fmt/format.h>

namespace figpulley::cli
{
namespace leaf = core::leaf;

int runCheck(const std::vector<std::string> &arguments)
{
    auto options = makeOptions("check", "Validates operators' files as one set, without applying them.", "FILE...");
    options.add_options()("strict", "treat warnings as errors");
    const auto parsed = parseOptions(options, arguments);
    if (parsed.count("help") > 0) {
        fmt::print("{}", options.help());
        return exitOk;
    }
    const auto paths = positionalArguments(parsed);
    if (paths.empty()) {
        throwUsageError("at least one file is required");
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(files, readFiles(paths));
            const bool isValid = checkAndPrint(files, parsed.count("strict") > 0);
            if (isValid) {
                fmt::print("{} file{} valid\n", files.size(), files.size() == 1 ? "" : "s");
            }
            return isValid ? exitOk : exitFailed;
        },
        [](const core::ErrorDetail &detail) {
            fmt::print(stderr, "figpulley check: {}\n", detail.text);
            return exitFailed;
        },
        [] { return exitFailed; });
}
} // namespace figpulley::cli
