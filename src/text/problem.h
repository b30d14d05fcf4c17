#pragma once

#include "text/position.h"

#include <string>
#include <vector>

namespace figpulley::text
{
/// One reason why a file is refused, or one warning about it.
struct Problem
{
    std::string file;
    Position position;
    std::string message;
    bool isWarning = false;
};

/// All problems found in a set of files, in the order of discovery.
using Problems = std::vector<Problem>;

/// Whether any problem is an error and not only a warning.
[[nodiscard]] bool hasErrors(const Problems &problems) noexcept;

/// Writes a problem as `file:line:column: error: message`.
[[nodiscard]] std::string describe(const Problem &problem);
} // namespace figpulley::text
