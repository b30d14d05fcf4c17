#pragma once

#include <string>
#include <vector>

#include <cxxopts.hpp>

namespace figpulley::cli
{
/// Creates the options of a subcommand, with `--help`.
/// @param name name of the subcommand
/// @param summary description for the help text
/// @param positional name of the positional arguments in the usage line; empty if the subcommand has none
[[nodiscard]] cxxopts::Options makeOptions(const std::string &name, const std::string &summary, const std::string &positional = {});

/// Parses the arguments of a subcommand; throws cxxopts::exceptions::exception on wrong usage.
[[nodiscard]] cxxopts::ParseResult parseOptions(cxxopts::Options &options, const std::vector<std::string> &arguments);

/// @returns the positional arguments, if any
[[nodiscard]] std::vector<std::string> positionalArguments(const cxxopts::ParseResult &parsed);

/// Throws an error that ends the command with its usage line and exitUsage.
[[noreturn]] void throwUsageError(const std::string &message);
} // namespace figpulley::cli
