#pragma once

/// Forward declarations of the object stores.
namespace figpulley::store
{
class ChangeLog;
class CollectionStore;
class EraCheckedStore;
class EraTracker;
class HttpObjectStore;
class ObjectStore;
struct CollectionItem;
struct CollectionItems;
struct ItemResult;
struct Position;
struct StoredObject;
struct StoreResult;
} // namespace figpulley::store
