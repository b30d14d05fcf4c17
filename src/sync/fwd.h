#pragma once

/// Forward declarations of the way of a configuration.
namespace figpulley::sync
{
class ApplyProcess;
class ConfigRelay;
class SnapshotStore;
struct FilePart;
struct Manifest;
struct Snapshot;
} // namespace figpulley::sync
