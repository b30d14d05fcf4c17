#pragma once

/// Forward declarations of configuration distribution.
namespace figpulley::sync
{
class ApplyProcess;
class ConfigRelay;
class SnapshotStore;
struct FilePart;
struct Manifest;
struct Snapshot;
} // namespace figpulley::sync
