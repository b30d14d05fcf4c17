#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::cli
{
inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1; ///< the command failed, or its input is invalid
inline constexpr int exitUsage = 2; ///< the arguments are wrong

/// A subcommand of the binary.
struct Command
{
    std::string_view name;
    std::string_view arguments; ///< arguments, as shown in the usage line
    std::string_view summary; ///< as shown by `help`
    int (*run)(const std::vector<std::string> &arguments); ///< returns the exit code
};

/// All subcommands, in the order in which `help` lists them.
[[nodiscard]] std::span<const Command> commands() noexcept;

/// Runs the subcommand that the arguments name and maps its errors to exit codes.
/// @param arguments arguments of the process, without the name of the program
/// @returns exitOk, exitFailed or exitUsage
int runCommandLine(const std::vector<std::string> &arguments);
} // namespace figpulley::cli
