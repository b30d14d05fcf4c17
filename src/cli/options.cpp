#include "cli/options.h"

namespace figpulley::cli
{
cxxopts::Options makeOptions(const std::string &name, const std::string &summary, const std::string &positional)
{
    cxxopts::Options options("figpulley " + name, summary);
    if (!positional.empty()) {
        options.add_options()("positional", positional, cxxopts::value<std::vector<std::string>>());
        options.parse_positional({"positional"});
        options.positional_help(positional);
    }
    options.add_options()("h,help", "print this help");
    return options;
}

cxxopts::ParseResult parseOptions(cxxopts::Options &options, const std::vector<std::string> &arguments)
{
    std::vector<const char *> pointers {"figpulley"};
    for (const auto &argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    return options.parse(static_cast<int>(pointers.size()), pointers.data());
}

std::vector<std::string> positionalArguments(const cxxopts::ParseResult &parsed)
{
    return parsed.count("positional") > 0 ? parsed["positional"].as<std::vector<std::string>>() : std::vector<std::string>();
}

void throwUsageError(const std::string &message)
{
    throw cxxopts::exceptions::parsing(message);
}
} // namespace figpulley::cli
