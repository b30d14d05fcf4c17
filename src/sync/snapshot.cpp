#include "sync/snapshot.h"

namespace figpulley::sync
{
std::vector<config::SourceFile> Snapshot::files() const
{
    std::vector<config::SourceFile> files;
    for (const auto &part : this->manifest.parts) {
        files.push_back({part.name, this->texts.at(part.hash)});
    }
    return files;
}

std::vector<std::string> Snapshot::missingHashes() const
{
    std::vector<std::string> hashes;
    for (const auto &part : this->manifest.parts) {
        if (!this->texts.contains(part.hash)) {
            hashes.push_back(part.hash);
        }
    }
    return hashes;
}
} // namespace figpulley::sync
