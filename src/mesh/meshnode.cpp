#include "mesh/meshnode.h"

#include "core/log.h"
#include "discovery/watchers.h"
#include "mesh/wireformat.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;

constexpr core::Duration stopCheck = 50ms;
constexpr core::Duration shortestStop = 3s; // clients are still sent here until two readiness checks a second apart have failed
constexpr core::Duration quietBeforeEnd = 300ms;
constexpr core::Duration graceMargin = 300ms; // the process ends before it is killed
constexpr core::Duration endpointsPause = 50ms; // changes of endpoints come in series; the gates are exact meanwhile
constexpr core::Duration loadInterval = 2s; // between two lines about the node's load
constexpr core::Duration shortestWatchWait = 1s; // a change has to be in force within 2 s, and a watch may be dropped without a word
constexpr core::Duration longestWatchWait = 30s; // the store takes no longer ones
constexpr core::Duration watchWaitPerNode = 250ms; // of the own zone: four watches a second and zone
constexpr double watchJitter = 0.2; // nodes that start together spread out
constexpr double sampledLinesPerSecond = 10; // of one kind of refusal; some 3 KB/s
constexpr double sampledLinesAtOnce = 30;

std::uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}
} // namespace

MeshNode::MeshNode(net::EventLoop &loop, net::HttpClient &client, MeshSettings nodeSettings, const WireFormat &wire,
                   store::CollectionStore &store)
    : loop(loop)
    , settings(std::move(nodeSettings))
    , wire(wire)
    , random(systemSeed())
    , sampler(sampledLinesPerSecond, sampledLinesAtOnce)
    , relay(loop)
    , context {loop, client, this->relay, this->settings, wire, store, this->blackboard, this->random, this->metrics, this->sampler}
    , config(this->blackboard, wire, [this](const routing::RouteSet &routes) { this->outbound->setClientLimits(routes.limits); })
    , directory(this->blackboard)
    , snapshots(this->context, this->config, this->directory)
    , changes(this->context)
    , relayedStore(this->context, this->changes)
{
    this->recorder = std::make_shared<LocalRecorder>(this->context, [this] {
        if (this->gate) {
            this->gate->closeGate();
        }
    });
    this->gate = std::make_unique<GateFace>(this->context, this->snapshots, this->changes);
    this->outbound = std::make_unique<OutboundFace>(this->context, this->snapshots, this->gate->chains());
    this->control = std::make_unique<ControlFace>(this->context, *this->recorder, [this] { return this->isReady(); });
}

MeshNode::~MeshNode()
{
    this->loop.cancel(this->loadTimer);
    this->loop.cancel(this->stopTimer);
}

// The watchers of a zone share its rate of calls. A node that turns to the store since it cannot ask a watcher is likely to be one of
// many, so it counts all nodes of the zone; whichever hears of a newer configuration first tells the others with its next requests.
core::Duration MeshNode::watchWait()
{
    const auto own = this->settings.ingress.toString();
    const auto &directory = this->blackboard.directory.read();
    const auto watchers = discovery::selectWatchers(directory, this->settings.availabilityZone, own);
    const bool isWatcher = std::find(watchers.begin(), watchers.end(), own) != watchers.end();
    const auto sharing = isWatcher ? watchers.size() : directory.countInZone(this->settings.availabilityZone);
    const auto wait = std::clamp(watchWaitPerNode * static_cast<std::int64_t>(sharing), shortestWatchWait, longestWatchWait);
    return std::chrono::duration_cast<core::Duration>(wait * (1 - watchJitter * core::uniform(this->random)));
}

std::shared_ptr<CollectionFollower> MeshNode::follow(const std::string &collection, const CollectionListener &listener,
                                                     core::Duration pause)
{
    auto &log = this->changes.log(collection);
    CollectionListener logged;
    logged.onItem = [listener, &log](const store::CollectionItem &item) {
        listener.onItem(item);
        log.put(item);
    };
    logged.onListed = [listener, &log](const std::unordered_set<std::string> &names, std::uint64_t revision) {
        listener.onListed(names, revision);
        log.reset(names, revision);
    };
    logged.onCaughtUp = [this, collection, &log](std::uint64_t revision) {
        log.advance(revision);
        this->changes.caughtUp(collection);
    };
    auto &eventLoop = this->loop;
    const auto later = [&eventLoop](core::Duration delay, std::function<void()> callback) { eventLoop.after(delay, std::move(callback)); };
    auto follower = std::make_shared<CollectionFollower>(
        this->relayedStore, collection, std::move(logged), later, this->random, [this] { return this->watchWait(); }, pause);
    follower->start();
    return follower;
}

void MeshNode::start()
{
    CollectionListener routes;
    routes.onItem = [this](const store::CollectionItem &item) {
        if (item.name == this->wire.routesName() && !item.isDeleted) {
            this->config.offer(item.content, "store", core::steadyNow());
        }
    };
    routes.onListed = [](const std::unordered_set<std::string> &, std::uint64_t) {};
    this->routesFollower = this->follow(this->wire.routesCollection(), routes, core::Duration {});

    CollectionListener endpoints;
    endpoints.onItem = [this](const store::CollectionItem &item) {
        if (item.isDeleted) {
            this->directory.remove(item.name, item.revision);
        } else {
            this->directory.put(item.name, item.content, item.revision, core::steadyNow());
        }
    };
    endpoints.onListed = [this](const std::unordered_set<std::string> &names, std::uint64_t revision) {
        this->directory.retain(names, revision);
    };
    this->endpointsFollower = this->follow(LocalRecorder::collection, endpoints, endpointsPause);
    this->recorder->start();
    this->reportLoad();
    core::log(core::LogLevel::Info, "node.started",
              {{"name", this->settings.name},
               {"zone", this->settings.availabilityZone},
               {"service", this->settings.service},
               {"entrance", this->settings.entrance.toString()},
               {"ingress", this->settings.ingress.toString()},
               {"store", this->settings.store.toString()}});
}

void MeshNode::reportLoad()
{
    const auto busy = this->loop.takeBusyShare();
    const auto load = this->gate->load();
    this->metrics.setGauge("figpulley_loop_busy_share", busy);
    this->metrics.setGauge("figpulley_requests_in_flight", static_cast<double>(this->outbound->inFlight()));
    this->metrics.setGauge("figpulley_slots_taken", load.running);
    this->metrics.setGauge("figpulley_requests_waiting", load.waiting);
    core::log(core::LogLevel::Info, "node.load",
              {{"busy", fmt::format("{:.2f}", busy)},
               {"in_flight", fmt::to_string(this->outbound->inFlight())},
               {"running", fmt::to_string(load.running)},
               {"waiting", fmt::to_string(load.waiting)},
               {"slots", fmt::to_string(load.slots)},
               {"mean_run_ms", fmt::to_string(core::toMilliseconds(this->gate->meanRun()))},
               {"endpoints", fmt::to_string(this->blackboard.directory.read().size())}});
    this->loadTimer = this->loop.after(loadInterval, [this] { this->reportLoad(); });
}

bool MeshNode::isReady() const noexcept
{
    return this->blackboard.config.read().table != nullptr && !this->blackboard.lifecycle.read().isStopping;
}

const MeshBoard &MeshNode::board() const noexcept
{
    return this->blackboard;
}

bool MeshNode::reload(const MeshSettings &changed)
{
    auto expected = this->settings;
    expected.logLevel = changed.logLevel;
    expected.grace = changed.grace;
    expected.retryBudget = changed.retryBudget;
    this->settings = expected;
    core::setLogLevel(changed.logLevel);
    this->outbound->setRetryBudget(changed.retryBudget);
    return expected == changed;
}

std::size_t MeshNode::inFlight() const noexcept
{
    return this->outbound->inFlight() + this->gate->inFlight();
}

void MeshNode::stop(std::function<void(std::size_t)> callback)
{
    if (this->onStopped) {
        return;
    }
    this->onStopped = std::move(callback);
    auto &lifecycle = this->blackboard.lifecycle.write();
    lifecycle.isStopping = true;
    lifecycle.stopRequestedAt = core::steadyNow();
    this->changes.close();
    core::log(core::LogLevel::Info, "node.stopping", {{"in_flight", fmt::to_string(this->inFlight())}});
    this->checkStop();
}

void MeshNode::checkStop()
{
    const auto now = core::steadyNow();
    const auto elapsed = now - this->blackboard.lifecycle.read().stopRequestedAt;
    const bool isQuiet = this->inFlight() == 0 && now - this->outbound->lastArrival() > quietBeforeEnd;
    if ((elapsed > shortestStop && isQuiet) || elapsed > this->settings.grace - graceMargin) {
        const auto cut = this->inFlight();
        this->outbound->answerOpen();
        std::exchange(this->onStopped, nullptr)(cut);
        return;
    }
    this->stopTimer = this->loop.after(stopCheck, [this] { this->checkStop(); });
}
} // namespace figpulley::mesh
