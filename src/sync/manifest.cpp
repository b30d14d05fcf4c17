#include "sync/manifest.h"

#include "core/json.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace figpulley::sync
{
namespace
{
using nlohmann::json;

const PartReference *findPart(const std::vector<PartReference> &parts, std::string_view name)
{
    const auto found = std::find_if(parts.begin(), parts.end(), [name](const PartReference &part) { return part.name == name; });
    return found == parts.end() ? nullptr : &*found;
}

void appendNames(std::string &text, char mark, const std::vector<std::string> &names)
{
    for (const auto &name : names) {
        text += fmt::format("{}{}{}", text.empty() ? "" : " ", mark, name);
    }
}
} // namespace

bool ManifestDifference::isEmpty() const noexcept
{
    return this->added.empty() && this->changed.empty() && this->removed.empty();
}

std::string ManifestDifference::toString() const
{
    std::string text;
    appendNames(text, '+', this->added);
    appendNames(text, '~', this->changed);
    appendNames(text, '-', this->removed);
    return text;
}

std::string partKey(std::string_view hash)
{
    return fmt::format("figpulley/parts/{}", hash);
}

std::string historyKey(std::uint64_t revision)
{
    return fmt::format("figpulley/history/{:012}", revision);
}

std::string contentHash(std::string_view text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::string encode(const Manifest &manifest)
{
    auto parts = json::array();
    for (const auto &part : manifest.parts) {
        parts.push_back({{"name", part.name}, {"hash", part.hash}, {"size", part.size}});
    }
    const json document {{"revision", manifest.revision},    {"apply_id", manifest.applyId}, {"applied_by", manifest.appliedBy},
                         {"applied_at", manifest.appliedAt}, {"note", manifest.note},        {"summary", manifest.summary},
                         {"parts", std::move(parts)}};
    return document.dump(1);
}

std::optional<Manifest> decodeManifest(std::string_view text)
{
    try {
        const auto document = core::parseJson(text);
        Manifest manifest;
        manifest.revision = document.at("revision").get<std::uint64_t>();
        manifest.applyId = document.at("apply_id").get<std::string>();
        manifest.appliedBy = document.at("applied_by").get<std::string>();
        manifest.appliedAt = document.at("applied_at").get<std::string>();
        manifest.note = document.at("note").get<std::string>();
        manifest.summary = document.at("summary").get<std::string>();
        for (const auto &part : document.at("parts")) {
            manifest.parts.push_back(
                {part.at("name").get<std::string>(), part.at("hash").get<std::string>(), part.at("size").get<std::uint64_t>()});
        }
        return manifest;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

ManifestDifference differenceOf(const std::vector<PartReference> &before, const std::vector<PartReference> &after)
{
    ManifestDifference difference;
    for (const auto &part : after) {
        const auto *old = findPart(before, part.name);
        if (old == nullptr) {
            difference.added.push_back(part.name);
        } else if (old->hash != part.hash) {
            difference.changed.push_back(part.name);
        }
    }
    for (const auto &part : before) {
        if (findPart(after, part.name) == nullptr) {
            difference.removed.push_back(part.name);
        }
    }
    return difference;
}
} // namespace figpulley::sync
