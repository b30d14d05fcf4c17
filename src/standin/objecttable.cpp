#include "standin/objecttable.h"

namespace figpulley::standin
{
using core::ErrorKind;
using store::StoreResult;

StoreResult ObjectTable::get(const std::string &key) const
{
    const auto found = this->objects.find(key);
    if (found == this->objects.end()) {
        return {ErrorKind::NotFound, {}};
    }
    return {ErrorKind::None, found->second};
}

StoreResult ObjectTable::put(const std::string &key, const std::string &value, store::WriteCondition condition)
{
    if (value.size() > store::maxValueBytes) {
        return {ErrorKind::BodyTooLarge, {}};
    }
    const auto found = this->objects.find(key);
    const auto currentVersion = found == this->objects.end() ? 0 : found->second.version;
    if (condition.version && *condition.version != currentVersion) {
        return {ErrorKind::Conflict, {"", currentVersion}};
    }
    this->objects[key] = {value, ++this->lastVersion};
    return {ErrorKind::None, {"", this->lastVersion}};
}

store::ListResult ObjectTable::list(const std::string &prefix) const
{
    store::ListResult result;
    for (auto at = this->objects.lower_bound(prefix); at != this->objects.end() && at->first.starts_with(prefix); ++at) {
        result.objects.push_back({at->first, at->second.version});
    }
    return result;
}

void ObjectTable::restore(const std::string &key, const store::StoredObject &object)
{
    this->objects[key] = object;
}
} // namespace figpulley::standin
