#pragma once

#include "store/objectstore.h"

#include <cstdint>
#include <map>
#include <string>

namespace figpulley::standin
{
/// The stand-in platform's objects: versions, conditional writes, call counts.
class ObjectTable
{
public:
    [[nodiscard]] store::StoreResult get(const std::string &key) const;
    store::StoreResult put(const std::string &key, const std::string &value, store::WriteCondition condition);
    [[nodiscard]] store::ListResult list(const std::string &prefix) const;

    /// Puts an object back to an older value and version, as a restored backup would.
    void restore(const std::string &key, const store::StoredObject &object);

private:
    std::map<std::string, store::StoredObject> objects;
    std::uint64_t lastVersion = 0;
};
} // namespace figpulley::standin
