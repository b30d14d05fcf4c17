#pragma once

#include "config/sourcefile.h"
#include "sync/manifest.h"

#include <map>
#include <string>
#include <vector>

namespace figpulley::sync
{
/// Manifest of a revision and the texts of its files.
struct Snapshot
{
    Manifest manifest;
    std::map<std::string, std::string, std::less<>> texts; ///< texts by content hash

    /// Returns the files in the order of the manifest.
    /// @throws std::out_of_range if a text is missing
    [[nodiscard]] std::vector<config::SourceFile> files() const;

    /// Returns the content hashes of the files whose text is missing.
    [[nodiscard]] std::vector<std::string> missingHashes() const;
};
} // namespace figpulley::sync
