#pragma once

#include "core/errorkind.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace figpulley::store
{
/// Largest value that the platform holds, in bytes.
inline constexpr std::size_t largestValue = 1UL << 20U;

/// A value and its version.
struct StoredObject
{
    std::string value;
    std::uint64_t version = 0; ///< 0: absent
};

/// Condition of a write.
struct WriteCondition
{
    std::optional<std::uint64_t> version; ///< the object has this version; 0: it is absent; none: any
};

/// How a call to the platform ended.
struct StoreResult
{
    core::ErrorKind kind = core::ErrorKind::None; ///< NotFound, Conflict, PlatformUnavailable, PlatformOutcomeUnknown or None
    StoredObject object; ///< after a read; after a write only the version
};

/// Key and version of one object.
struct ObjectName
{
    std::string key;
    std::uint64_t version = 0;
};

/// The keys under a prefix.
struct ListResult
{
    core::ErrorKind kind = core::ErrorKind::None;
    std::vector<ObjectName> names;
};

/// The platform's object API. Implementations call back exactly once for each call.
class ObjectStore
{
public:
    using Callback = std::function<void(const StoreResult &)>;
    using ListCallback = std::function<void(const ListResult &)>;

    virtual ~ObjectStore() = default;

    virtual void get(const std::string &key, Callback callback) = 0;

    /// Writes a value if the condition holds; Conflict otherwise.
    virtual void put(const std::string &key, const std::string &value, WriteCondition condition, Callback callback) = 0;

    /// Waits until an object's version differs from `known`, or for `timeout`; then reads it.
    virtual void watch(const std::string &key, std::uint64_t known, core::Duration timeout, Callback callback) = 0;

    virtual void list(const std::string &prefix, ListCallback callback) = 0;

    ObjectStore() = default;
    ObjectStore(const ObjectStore &) = delete;
    ObjectStore &operator=(const ObjectStore &) = delete;
};
} // namespace figpulley::store
