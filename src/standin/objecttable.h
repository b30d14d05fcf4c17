#pragma once

#include "store/objectstore.h"

#include <cstdint>
#include <map>
#include <string>

namespace figpulley::standin
{
/// In-memory objects of the stand-in platform, with versions and conditional writes.
class ObjectTable
{
public:
    [[nodiscard]] store::StoreResult get(const std::string &key) const;
    store::StoreResult put(const std::string &key, const std::string &value, store::WriteCondition condition);
    [[nodiscard]] store::ListResult list(const std::string &prefix) const;

    /// Sets an object to an older value and version, as the restoration of a backup does.
    void restore(const std::string &key, const store::StoredObject &object);

private:
    std::map<std::string, store::StoredObject> objects;
    std::uint64_t lastVersion = 0;
};
} // namespace figpulley::standin
