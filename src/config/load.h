#pragma once

#include "config/configuration.h"
#include "config/sourcefile.h"
#include "text/problem.h"

#include <vector>

namespace figpulley::config
{
/// Compiles a set of files as a whole.
/// @param files all files that are to be in force together
/// @param problems receives every error and warning, with file, line and column
/// @returns the configuration, or nullptr if any file has an error
///
/// Example: `auto configuration = load({{"policy.json", text}}, problems);`
[[nodiscard]] std::shared_ptr<Configuration> load(const std::vector<SourceFile> &files, text::Problems &problems);

/// The policy that holds before any file has reached a node.
[[nodiscard]] ConfigurationPtr builtInConfiguration();
} // namespace figpulley::config
