#pragma once

#include "text/position.h"

#include <string>
#include <vector>

namespace figpulley::text
{
/// An error that makes a file invalid, or a warning about it.
struct Problem
{
    std::string file;
    Position position;
    std::string message;
    bool isWarning = false;
};

/// Problems of a set of files, in the order in which they were found.
using Problems = std::vector<Problem>;

/// @returns whether any of the problems is an error
[[nodiscard]] bool hasErrors(const Problems &problems) noexcept;

/// Formats a problem as `file:line:column: error: message`.
[[nodiscard]] std::string describe(const Problem &problem);
} // namespace figpulley::text
