#include "store/changelog.h"

#include <algorithm>
#include <vector>

namespace figpulley::store
{
namespace
{
constexpr std::size_t itemOverheadBytes = 64; // of one object in a response, beside its name and content

std::size_t sizeOf(const CollectionItem &item)
{
    return item.name.size() + item.content.size();
}
} // namespace

ChangeLog::ChangeLog(ChangeLogLimits limits)
    : limits(limits)
{
}

void ChangeLog::beginList(std::uint64_t era)
{
    if (era == this->storeEra) {
        return;
    }
    *this = ChangeLog(this->limits);
    this->storeEra = era;
}

void ChangeLog::put(const CollectionItem &item)
{
    const auto known = this->items.find(item.name);
    const bool isNewer = known == this->items.end() || known->second.revision < item.revision;
    // A further list may bring a content for which there was no room before.
    const bool isMissing = !isNewer && known->second.revision == item.revision && this->truncated.contains(item.name);
    if (!isNewer && !isMissing) {
        return;
    }
    const bool isKept = !item.isDeleted && item.content.size() <= this->limits.contentBytes;
    this->store({item.name, item.revision, isKept ? item.content : std::string(), item.isDeleted});
}

void ChangeLog::reset(const std::unordered_set<std::string> &names, std::uint64_t revision)
{
    std::vector<std::string> missing;
    for (const auto &[name, item] : this->items) {
        if (!item.isDeleted && !names.contains(name) && item.revision <= revision) {
            missing.push_back(name);
        }
    }
    for (const auto &name : missing) {
        this->store({name, revision, {}, true});
    }
    if (this->latestRevision == 0) {
        this->baseRevision = std::max(this->baseRevision, revision);
    }
    this->latestRevision = std::max(this->latestRevision, revision);
}

// Replaces the known change of an object.
void ChangeLog::store(CollectionItem item)
{
    if (const auto known = this->items.find(item.name); known != this->items.end()) {
        this->forget(known->second);
    }
    if (this->keptBytes + sizeOf(item) > this->limits.totalBytes && !item.content.empty()) {
        this->truncated.insert(item.name);
        item.content.clear();
    }
    this->order.emplace(item.revision, item.name);
    this->keptBytes += sizeOf(item);
    if (item.isDeleted) {
        this->deletions.emplace(item.revision, item.name);
        this->deletionBytes += sizeOf(item);
    }
    auto name = item.name;
    this->items.insert_or_assign(std::move(name), std::move(item));
    this->forgetEarliestDeletions();
}

// Takes an item out of the order and the sizes, but not out of the items.
void ChangeLog::forget(const CollectionItem &item)
{
    this->order.erase({item.revision, item.name});
    this->truncated.erase(item.name);
    this->keptBytes -= sizeOf(item);
    if (item.isDeleted) {
        this->deletions.erase({item.revision, item.name});
        this->deletionBytes -= sizeOf(item);
    }
}

// A node that has not heard of a forgotten deletion has to list the collection.
void ChangeLog::forgetEarliestDeletions()
{
    while (this->deletionBytes > this->limits.deletionBytes) {
        const auto earliest = this->items.find(this->deletions.begin()->second);
        this->baseRevision = std::max(this->baseRevision, earliest->second.revision);
        this->forget(earliest->second);
        this->items.erase(earliest);
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

bool ChangeLog::isTruncated() const noexcept
{
    return !this->truncated.empty();
}

CollectionItems ChangeLog::emptyItems() const
{
    CollectionItems list;
    list.revision = this->latestRevision;
    list.era = this->storeEra;
    return list;
}

std::optional<CollectionItems> ChangeLog::changesAfter(std::uint64_t revision, std::size_t maxBytes) const
{
    if (!this->covers(revision)) {
        return std::nullopt;
    }
    auto later = this->emptyItems();
    std::size_t bytes = 0;
    for (auto at = this->order.lower_bound({revision + 1, {}}); at != this->order.end(); ++at) {
        const auto &item = this->items.at(at->second);
        bytes += sizeOf(item) + itemOverheadBytes;
        // Objects that a list has found missing are deleted at one revision and have to stay together.
        const bool isDivisible = !later.items.empty() && later.items.back().revision != item.revision;
        if (isDivisible && bytes > maxBytes) {
            later.revision = later.items.back().revision;
            break;
        }
        later.items.push_back(item);
    }
    return later;
}

std::uint64_t ChangeLog::firstChangeAfter(std::uint64_t revision) const
{
    const auto first = this->order.lower_bound({revision + 1, {}});
    return first == this->order.end() ? 0 : first->first;
}

CollectionItems ChangeLog::list(const std::string &after, std::size_t maxBytes) const
{
    auto page = this->emptyItems();
    std::size_t bytes = 0;
    for (auto at = after.empty() ? this->items.begin() : this->items.upper_bound(after); at != this->items.end(); ++at) {
        const auto &item = at->second;
        if (item.isDeleted) {
            continue;
        }
        bytes += sizeOf(item) + itemOverheadBytes;
        if (!page.items.empty() && bytes > maxBytes) {
            page.hasMore = true;
            break;
        }
        page.items.push_back(item);
        page.lastName = item.name;
    }
    return page;
}

std::uint64_t ChangeLog::revision() const noexcept
{
    return this->latestRevision;
}

std::uint64_t ChangeLog::era() const noexcept
{
    return this->storeEra;
}

std::size_t ChangeLog::bytes() const noexcept
{
    return this->keptBytes;
}
} // namespace figpulley::store
