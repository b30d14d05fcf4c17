#pragma once

#include "config/sourcefile.h"
#include "core/error.h"

#include <string>
#include <vector>

namespace figpulley::cli
{
/// Reads a whole file.
/// @returns its contents, or ErrorKind::NotFound if it cannot be read
[[nodiscard]] core::leaf::result<std::string> readFile(const std::string &path);

/// Reads operators' files. The path of a folder stands for all `.json` and `.jsonc` files in it.
/// @returns the files, named by their last path component, so that a set has the same names in any location;
/// ErrorKind::InvalidFile if two files have the same name, ErrorKind::NotFound if there are none
[[nodiscard]] core::leaf::result<std::vector<config::SourceFile>> readFiles(const std::vector<std::string> &paths);

/// Validates a set of files and prints every problem to stderr.
/// @param isStrict whether warnings count as errors
/// @returns whether the set is valid
[[nodiscard]] bool checkAndPrint(const std::vector<config::SourceFile> &files, bool isStrict);
} // namespace figpulley::cli
