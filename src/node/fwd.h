#pragma once

/// Forward declarations of a node.
namespace figpulley::node
{
class ControlServer;
class EgressProxy;
class IngressProxy;
class Node;
class NodeMetrics;
struct NodeContext;
struct NodeSettings;
} // namespace figpulley::node
