#pragma once

#include <string>

namespace figpulley::cli
{
/// Generates the contents of docs/REFERENCE.md from the tables of settings, files and error kinds.
[[nodiscard]] std::string referencePage();
} // namespace figpulley::cli
