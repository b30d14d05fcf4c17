#pragma once

#include <string>
#include <vector>

#include <cxxopts.hpp>

namespace figpulley::cli
{
/// Starts the options of a subcommand.
/// @param name subcommand
/// @param positional name of the positional arguments for the usage line; empty if it takes none
[[nodiscard]] cxxopts::Options makeOptions(const std::string &name, const std::string &summary, const std::string &positional = {});

/// Parses arguments; throws cxxopts::exceptions::exception on wrong usage.
[[nodiscard]] cxxopts::ParseResult parseOptions(cxxopts::Options &options, const std::vector<std::string> &arguments);

/// Positional arguments, or none.
[[nodiscard]] std::vector<std::string> positionals(const cxxopts::ParseResult &parsed);

/// Throws a usage error.
[[noreturn]] void usageError(const std::string &message);
} // namespace figpulley::cli
