#pragma once

/// Forward declarations of a node that finds its peers through the object store.
namespace figpulley::mesh
{
class AnswerPool;
class ChangeRelay;
class CollectionFollower;
class ConditionUpdater;
class ConfigUpdater;
class ControlServer;
class DepartureNotices;
class DirectoryUpdater;
class EndpointProbe;
class InboundProxy;
class LocalRegistrar;
class MeshNode;
class NeighbourContacts;
class OutboundProxy;
class PeerCalls;
class PeerInquiry;
class RelayedStore;
class SnapshotExchange;
class StoreAccess;
class WireFormat;
struct AttemptHead;
struct AttemptReport;
struct MeshBoard;
struct MeshContext;
struct MeshSettings;
} // namespace figpulley::mesh
