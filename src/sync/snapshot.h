#pragma once

#include "config/sourcefile.h"
#include "sync/manifest.h"

#include <map>
#include <string>
#include <vector>

namespace figpulley::sync
{
/// A revision's manifest and the text of each of its files.
struct Snapshot
{
    Manifest manifest;
    std::map<std::string, std::string, std::less<>> texts; ///< by content hash

    /// The files in the order of the manifest.
    /// @throws std::out_of_range if a text is missing
    [[nodiscard]] std::vector<config::SourceFile> files() const;

    /// Hashes of files whose text is missing.
    [[nodiscard]] std::vector<std::string> missing() const;
};
} // namespace figpulley::sync
