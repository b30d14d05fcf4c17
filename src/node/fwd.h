#pragma once

/// Forward declarations of a node.
namespace figpulley::node
{
class ControlFace;
class EgressFace;
class IngressFace;
class Node;
class NodeMetrics;
struct NodeContext;
struct NodeSettings;
} // namespace figpulley::node
