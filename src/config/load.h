#pragma once

#include "config/configuration.h"
#include "config/sourcefile.h"
#include "text/problem.h"

#include <vector>

namespace figpulley::config
{
/// Validates and compiles a set of files. An error in one file rejects the whole set.
/// @param files all files of the configuration
/// @param problems receives the errors and warnings of all files, with line and column
/// @returns the configuration, or nullptr if any file has an error
///
/// Example: `auto configuration = load({{"policy.json", text}}, problems);`
[[nodiscard]] std::shared_ptr<Configuration> load(const std::vector<SourceFile> &files, text::Problems &problems);

/// Configuration of a node that has not received any file yet: the defaults of the tables, without routes or alert rules.
[[nodiscard]] ConfigurationPtr builtInConfiguration();
} // namespace figpulley::config
