#include "node/node.h"

#include "core/log.h"
#include "members/member.h"

#include <chrono>
#include <random>
#include <utility>

namespace figpulley::node
{
namespace
{
using namespace std::chrono_literals;

constexpr core::Duration tickInterval = 5ms;

std::uint64_t seedFrom(const NodeSettings &settings)
{
    if (settings.randomSeed != 0) {
        return settings.randomSeed;
    }
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

core::Incarnation makeIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return core::Incarnation {static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count())};
}
} // namespace

Node::Node(net::EventLoop &loop, NodeSettings settings)
    : loop(loop)
    , settings(std::move(settings))
    , random(seedFrom(this->settings))
    , client(loop)
{
    const NodeContext context {this->loop, this->client, this->settings, this->blackboard, this->random, this->metrics};
    this->control = std::make_unique<ControlServer>(context);
    this->ingress = std::make_unique<IngressProxy>(context);
    this->egress = std::make_unique<EgressProxy>(context);
    auto &identity = this->blackboard.identity;
    identity.service = this->settings.service;
    identity.availabilityZone = this->settings.availabilityZone;
    identity.ingressAddress = this->ingress->address().toString();
    identity.controlAddress = this->control->address().toString();
    identity.id = members::nodeIdOf(identity.controlAddress);
    identity.incarnation = makeIncarnation();
}

Node::~Node()
{
    this->loop.cancel(this->tickTimer);
}

void Node::start()
{
    this->control->start();
    this->tickTimer = this->loop.callEvery(tickInterval, [this] { this->tick(); });
    core::log(core::LogLevel::Info, "node.started",
              {{"service", this->settings.service},
               {"zone", this->settings.availabilityZone},
               {"entrance", this->entranceAddress().toString()},
               {"nested", this->nestedAddress().toString()},
               {"ingress", this->ingressAddress().toString()},
               {"control", this->controlAddress().toString()}});
}

void Node::stop(std::function<void(std::size_t)> callback)
{
    this->onStopped = std::move(callback);
    this->drain.requestStop(this->blackboard, core::steadyNow());
    this->control->announceLeaving(true);
    core::log(core::LogLevel::Info, "node.draining", {{"control", this->controlAddress().toString()}});
}

void Node::tick()
{
    this->ingress->tick();
    const auto now = core::steadyNow();
    const bool hasStopEnded = this->drain.isStopComplete(this->blackboard, now) || this->drain.isStopOverdue(this->blackboard, now);
    if (this->onStopped && hasStopEnded) {
        std::exchange(this->onStopped, nullptr)(this->callsInFlight());
    }
}

net::Address Node::entranceAddress() const
{
    return this->egress->entranceAddress();
}

net::Address Node::nestedAddress() const
{
    return this->egress->nestedAddress();
}

net::Address Node::ingressAddress() const
{
    return this->ingress->address();
}

net::Address Node::controlAddress() const
{
    return this->control->address();
}

std::size_t Node::callsInFlight() const noexcept
{
    return this->ingress->inFlight() + this->blackboard.calls.read().calls.size();
}

const board::Blackboard &Node::board() const noexcept
{
    return this->blackboard;
}

const ControlTraffic &Node::controlTraffic() const noexcept
{
    return this->control->traffic();
}
} // namespace figpulley::node
