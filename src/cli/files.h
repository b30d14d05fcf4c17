#pragma once

#include "config/sourcefile.h"
#include "core/error.h"

#include <string>
#include <vector>

namespace figpulley::cli
{
/// Reads one file.
[[nodiscard]] core::leaf::result<std::string> readFile(const std::string &path);

/// Reads operators' files; a folder stands for all `.json` and `.jsonc` files in it.
/// @returns the files, named by their last path component so that a set has the same names wherever it lies
[[nodiscard]] core::leaf::result<std::vector<config::SourceFile>> readFiles(const std::vector<std::string> &paths);

/// Checks a set of files and prints every problem.
/// @returns whether all are valid
[[nodiscard]] bool checkAndPrint(const std::vector<config::SourceFile> &files, bool isStrict);
} // namespace figpulley::cli
