#pragma once

/// Forward declarations of a node that finds its peers through the object store.
namespace figpulley::mesh
{
class ChangeRelay;
class CollectionFollower;
class ConfigKeeper;
class ControlFace;
class DirectoryKeeper;
class GateFace;
class LocalRecorder;
class MeshNode;
class OutboundFace;
class RelayedStore;
class SnapshotExchange;
class WireFormat;
struct AttemptHead;
struct AttemptReport;
struct MeshBoard;
struct MeshContext;
struct MeshSettings;
} // namespace figpulley::mesh
