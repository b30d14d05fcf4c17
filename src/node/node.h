#pragma once

#include "node/controlserver.h"
#include "node/egressproxy.h"
#include "node/ingressproxy.h"

#include <functional>
#include <memory>

namespace figpulley::node
{
/// One node: its blackboard, its controllers, and its egress proxy, ingress proxy and control server, on one event loop.
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

    /// Joins the other nodes and starts to accept calls.
    void start();

    /// Begins a planned stop: announces it, refuses new calls with the report that they did not run, and finishes the calls in flight.
    /// @param onStopped called when no call is in flight or the time limit has passed; receives the number of calls cut off
    void stop(std::function<void(std::size_t)> onStopped);

    [[nodiscard]] net::Address entranceAddress() const;
    [[nodiscard]] net::Address nestedAddress() const;
    [[nodiscard]] net::Address ingressAddress() const;
    [[nodiscard]] net::Address controlAddress() const;

    /// Returns the number of calls that a stop at this moment would cut off.
    [[nodiscard]] std::size_t callsInFlight() const noexcept;

    /// Returns the blackboard, for test harnesses. Must be used on the thread of the event loop only.
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
    std::unique_ptr<ControlServer> control;
    std::unique_ptr<IngressProxy> ingress;
    std::unique_ptr<EgressProxy> egress;
    decide::DrainController drain;
    std::function<void(std::size_t)> onStopped;
    net::EventLoop::TimerId tickTimer = net::EventLoop::noTimer;
};
} // namespace figpulley::node
