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
/// Largest value that the platform stores, in bytes.
inline constexpr std::size_t maxValueBytes = 1UL << 20U;

/// Value of an object, with its version.
struct StoredObject
{
    std::string value;
    std::uint64_t version = 0; ///< 0 if the object does not exist
};

/// Precondition of a write.
struct WriteCondition
{
    std::optional<std::uint64_t> version; ///< required version; 0 if the object must not exist; empty for an unconditional write
};

/// Result of a call to the platform.
struct StoreResult
{
    core::ErrorKind kind = core::ErrorKind::None; ///< NotFound, Conflict, PlatformUnavailable, PlatformOutcomeUnknown or None
    StoredObject object; ///< value and version after a read, only the version after a write
};

/// Key and version of one object.
struct ObjectVersion
{
    std::string key;
    std::uint64_t version = 0;
};

/// Objects whose keys have a common prefix.
struct ListResult
{
    core::ErrorKind kind = core::ErrorKind::None;
    std::vector<ObjectVersion> objects;
};

/// Interface to the platform's object API. Implementations invoke the callback exactly once for each call.
class ObjectStore
{
public:
    using Callback = std::function<void(const StoreResult &)>;
    using ListCallback = std::function<void(const ListResult &)>;

    virtual ~ObjectStore() = default;

    virtual void get(const std::string &key, Callback callback) = 0;

    /// Writes a value if the condition holds; otherwise the result is Conflict.
    virtual void put(const std::string &key, const std::string &value, WriteCondition condition, Callback callback) = 0;

    /// Waits until an object's version differs from `knownVersion` or `timeout` has passed, then reads the object.
    virtual void watch(const std::string &key, std::uint64_t knownVersion, core::Duration timeout, Callback callback) = 0;

    virtual void list(const std::string &prefix, ListCallback callback) = 0;

    ObjectStore() = default;
    ObjectStore(const ObjectStore &) = delete;
    ObjectStore &operator=(const ObjectStore &) = delete;
};
} // namespace figpulley::store
