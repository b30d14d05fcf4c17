#include "sync/snapshotstore.h"

#include "core/json.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace figpulley::sync
{
namespace
{
using nlohmann::json;

void removeUnusedTexts(Snapshot &snapshot)
{
    std::erase_if(snapshot.texts, [&](const auto &text) {
        const auto &parts = snapshot.manifest.parts;
        return std::none_of(parts.begin(), parts.end(), [&](const PartReference &part) { return part.hash == text.first; });
    });
}
} // namespace

bool SnapshotStore::applyIfNewer(Snapshot newer)
{
    if (newer.manifest.revision <= this->snapshot.manifest.revision || !newer.missingHashes().empty()) {
        return false;
    }
    removeUnusedTexts(newer);
    this->recentManifests.push_back(newer.manifest);
    if (this->recentManifests.size() > maxRecentManifests) {
        this->recentManifests.pop_front();
    }
    this->snapshot = std::move(newer);
    return true;
}

const Snapshot &SnapshotStore::current() const noexcept
{
    return this->snapshot;
}

std::string SnapshotStore::encodeDelta(std::uint64_t have) const
{
    const auto base = std::find_if(this->recentManifests.begin(), this->recentManifests.end(),
                                   [have](const Manifest &manifest) { return manifest.revision == have; });
    const bool isFull = base == this->recentManifests.end();
    const auto difference = differenceOf(isFull ? std::vector<PartReference>() : base->parts, this->snapshot.manifest.parts);
    auto head = this->snapshot.manifest;
    head.parts.clear();
    auto changed = json::array();
    for (const auto &part : this->snapshot.manifest.parts) {
        const auto &added = difference.added;
        const auto &modified = difference.changed;
        const bool isNew = std::find(added.begin(), added.end(), part.name) != added.end()
            || std::find(modified.begin(), modified.end(), part.name) != modified.end();
        if (isNew) {
            changed.push_back({{"name", part.name}, {"text", this->snapshot.texts.at(part.hash)}});
        }
    }
    const json document {
        {"base", isFull ? 0 : have}, {"head", encode(head)}, {"changed", std::move(changed)}, {"removed", difference.removed}};
    return document.dump();
}

std::optional<Snapshot> SnapshotStore::applyDelta(std::string_view delta) const
{
    try {
        const auto document = core::parseJson(delta);
        auto head = decodeManifest(document.at("head").get_ref<const std::string &>());
        const auto base = document.at("base").get<std::uint64_t>();
        const auto &present = this->snapshot.manifest;
        const bool isApplicable = base == 0 || base == present.revision;
        if (!head || !isApplicable || head->revision <= present.revision) {
            return std::nullopt;
        }
        Snapshot next;
        next.manifest = std::move(*head);
        std::map<std::string, PartReference> parts;
        if (base != 0) {
            next.texts = this->snapshot.texts;
            for (const auto &part : present.parts) {
                parts[part.name] = part;
            }
        }
        for (const auto &name : document.at("removed")) {
            parts.erase(name.get<std::string>());
        }
        for (const auto &item : document.at("changed")) {
            const auto &name = item.at("name").get_ref<const std::string &>();
            const auto &text = item.at("text").get_ref<const std::string &>();
            const auto hash = contentHash(text);
            parts[name] = {name, hash, text.size()};
            next.texts[hash] = text;
        }
        for (auto &[name, part] : parts) {
            next.manifest.parts.push_back(std::move(part));
        }
        return next;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}
} // namespace figpulley::sync
