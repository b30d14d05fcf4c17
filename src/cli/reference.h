#pragma once

#include <string>

namespace figpulley::cli
{
/// Writes docs/REFERENCE.md from the program's own tables.
[[nodiscard]] std::string referencePage();
} // namespace figpulley::cli
