#pragma once

/// Forward declarations of the object stores.
namespace figpulley::store
{
class HttpObjectStore;
class ObjectStore;
struct StoredObject;
struct StoreResult;
} // namespace figpulley::store
