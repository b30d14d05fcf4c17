#include "store/changelog.h"

#include <algorithm>
#include <iterator>

namespace figpulley::store
{
void ChangeLog::beginList(std::uint64_t era)
{
    if (era == this->storeEra) {
        return;
    }
    *this = {};
    this->storeEra = era;
}

void ChangeLog::put(const CollectionItem &item)
{
    auto &known = this->items[item.name];
    if (known.revision >= item.revision) {
        return;
    }
    known = item;
    this->addChange(item);
    if (item.isDeleted) {
        this->items.erase(item.name);
    }
}

void ChangeLog::reset(const std::unordered_set<std::string> &names, std::uint64_t revision)
{
    std::vector<CollectionItem> missing;
    for (const auto &[name, item] : this->items) {
        if (!names.contains(name) && item.revision <= revision) {
            missing.push_back({name, revision, {}, true});
        }
    }
    for (const auto &item : missing) {
        this->items.erase(item.name);
        this->addChange(item);
    }
    if (this->latestRevision == 0) {
        std::erase_if(this->changes, [revision](const CollectionItem &item) { return item.revision <= revision; });
        this->baseRevision = revision;
    }
    this->latestRevision = std::max(this->latestRevision, revision);
}

void ChangeLog::addChange(const CollectionItem &item)
{
    this->changes.push_back(item);
    if (this->changes.size() > maxChanges) {
        this->baseRevision = std::max(this->baseRevision, this->changes.front().revision);
        this->changes.pop_front();
    }
}

void ChangeLog::advance(std::uint64_t revision)
{
    this->latestRevision = std::max(this->latestRevision, revision);
}

bool ChangeLog::covers(std::uint64_t revision) const noexcept
{
    return this->latestRevision != 0 && revision >= this->baseRevision;
}

// Whether no later change of the same object is known. A node that catches up has no use for the earlier ones, and a storm of changes of
// one large object would fill the memory of both nodes with them.
bool ChangeLog::isLatest(const CollectionItem &change) const
{
    const auto found = this->items.find(change.name);
    return found == this->items.end() ? change.isDeleted : found->second.revision == change.revision;
}

std::optional<std::vector<CollectionItem>> ChangeLog::changesAfter(std::uint64_t revision) const
{
    if (!this->covers(revision)) {
        return std::nullopt;
    }
    std::vector<CollectionItem> later;
    std::copy_if(this->changes.begin(), this->changes.end(), std::back_inserter(later),
                 [this, revision](const CollectionItem &item) { return item.revision > revision && this->isLatest(item); });
    return later;
}

std::uint64_t ChangeLog::firstChangeAfter(std::uint64_t revision) const
{
    std::uint64_t first = 0;
    for (const auto &change : this->changes) {
        const bool isEarlier = change.revision > revision && (first == 0 || change.revision < first);
        first = isEarlier && this->isLatest(change) ? change.revision : first;
    }
    return first;
}

std::vector<CollectionItem> ChangeLog::allItems() const
{
    std::vector<CollectionItem> list;
    list.reserve(this->items.size());
    std::transform(this->items.begin(), this->items.end(), std::back_inserter(list), [](const auto &entry) { return entry.second; });
    return list;
}

std::uint64_t ChangeLog::revision() const noexcept
{
    return this->latestRevision;
}

std::uint64_t ChangeLog::era() const noexcept
{
    return this->storeEra;
}
} // namespace figpulley::store
