#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::cli
{
inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;

/// One subcommand of the binary.
struct Command
{
    std::string_view name;
    std::string_view arguments; ///< for the usage line
    std::string_view summary;
    int (*run)(const std::vector<std::string> &arguments); ///< returns the exit code
};

/// All subcommands, in the order of `help`.
[[nodiscard]] std::span<const Command> commands() noexcept;

/// Runs the binary: finds the subcommand and maps its errors to exit codes.
/// @param arguments without the program's name
/// @returns the exit code: 0, 1 for a failure, 2 for wrong usage
int runCommandLine(const std::vector<std::string> &arguments);
} // namespace figpulley::cli
