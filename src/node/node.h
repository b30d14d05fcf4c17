#pragma once

#include "node/controlface.h"
#include "node/egressface.h"
#include "node/ingressface.h"

#include <functional>
#include <memory>

namespace figpulley::node
{
/// One node: its blackboard, its decisions and its three faces, on one event loop.
///
/// Example:
/// ```
/// net::EventLoop loop;
/// Node node(loop, settings);
/// node.start();
/// loop.run();
/// ```
class Node
{
public:
    /// Binds all addresses.
    /// @throws std::runtime_error if one cannot be bound
    Node(net::EventLoop &loop, NodeSettings settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Joins the others and takes calls.
    void start();

    /// Begins a planned stop: announces it, refuses new work as not run, finishes what is in flight.
    /// @param onStopped called when nothing is in flight, or the limit has passed; receives the calls cut off
    void stop(std::function<void(std::size_t)> onStopped);

    [[nodiscard]] net::Address entranceAddress() const;
    [[nodiscard]] net::Address nestedAddress() const;
    [[nodiscard]] net::Address ingressAddress() const;
    [[nodiscard]] net::Address controlAddress() const;

    /// Calls that a stop at this moment would cut off.
    [[nodiscard]] std::size_t callsInFlight() const noexcept;

    /// The node's blackboard, for harnesses; to be used on the loop's thread only.
    [[nodiscard]] const board::Blackboard &board() const noexcept;

    [[nodiscard]] const ControlTraffic &controlTraffic() const noexcept;

private:
    void tick();

    net::EventLoop &loop;
    NodeSettings settings;
    core::Random random;
    board::Blackboard blackboard;
    NodeMetrics metrics;
    net::HttpClient client;
    std::unique_ptr<ControlFace> control;
    std::unique_ptr<IngressFace> ingress;
    std::unique_ptr<EgressFace> egress;
    decide::DrainController drain;
    std::function<void(std::size_t)> onStopped;
    net::EventLoop::TimerId tickTimer = net::EventLoop::noTimer;
};
} // namespace figpulley::node
