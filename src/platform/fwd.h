#pragma once

/// Forward declarations of the platform's client.
namespace figpulley::platform
{
class HttpObjectStore;
class ObjectStore;
struct StoredObject;
struct StoreResult;
} // namespace figpulley::platform
