#include "text/problem.h"

#include <algorithm>

#include <fmt/format.h>

namespace figpulley::text
{
bool hasErrors(const Problems &problems) noexcept
{
    return std::any_of(problems.begin(), problems.end(), [](const Problem &problem) { return !problem.isWarning; });
}

std::string describe(const Problem &problem)
{
    return fmt::format("{}:{}:{}: {}: {}", problem.file, problem.position.line, problem.position.column,
                       problem.isWarning ? "warning" : "error", problem.message);
}
} // namespace figpulley::text
