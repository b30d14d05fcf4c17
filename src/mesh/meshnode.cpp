#include "mesh/meshnode.h"

#include "core/log.h"
#include "discovery/restorewindow.h"
#include "discovery/watchers.h"
#include "mesh/conditionheader.h"
#include "mesh/wireformat.h"
#include "store/objectstore.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <utility>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;

constexpr core::Duration stopCheckInterval = 50ms;
constexpr core::Duration minStopDuration = 3s; // new clients arrive until two readiness checks 1 s apart have failed
constexpr core::Duration minIdleBeforeExit = 300ms;
constexpr core::Duration graceMargin = 300ms; // the process has to exit before it is killed
constexpr core::Duration responseMargin = 600ms; // time before the end of the grace period in which the last responses are written
// Changes of endpoints arrive in series and are batched for this time. Until a change is known here, the node of the endpoint refuses
// the attempts that the endpoint's current state does not allow.
constexpr core::Duration endpointChangeDelay = 50ms;
constexpr core::Duration loadLogInterval = 2s;
constexpr core::Duration minWatchTimeout = 1s; // a change has to be active within 2 s, and the store may drop a watch silently
constexpr core::Duration maxWatchTimeout = 30s; // limit of the store
constexpr core::Duration watchTimeoutPerNode = 250ms; // at most four watches per second and zone
constexpr double watchJitter = 0.2; // spreads the watches of nodes that start together
// Texts of responses to other nodes: eight of the largest objects, a tenth of the smallest process with the copies of the next one.
constexpr std::size_t maxAnswerBytes = 8 * store::maxValueBytes;
constexpr double sampledLinesPerSecond = 10; // for each kind of refusal; about 3 KB/s
constexpr double sampledLinesBurst = 30;

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
    , sampler(sampledLinesPerSecond, sampledLinesBurst)
    , eraCheckedStore(store)
    , relay(loop)
    , answers(maxAnswerBytes)
    , context {loop,
               client,
               this->relay,
               this->settings,
               wire,
               this->eraCheckedStore,
               this->eraCheckedStore.era(),
               this->boardSections,
               this->random,
               this->metrics,
               this->answers,
               this->sampler}
    , configUpdater(this->boardSections, wire, [this](const routing::RouteTable &routes) { this->outbound->applyConfiguration(routes); })
    , directoryUpdater(this->boardSections)
    , snapshots(this->context, this->configUpdater, this->directoryUpdater)
    , peerInquiry(
          this->context, this->snapshots,
          [this](const std::string &node, bool isSuccessor, core::Duration keptFor) { this->handlePeerAnswer(node, isSuccessor, keptFor); },
          [this] { this->handleInquiryEnded(); })
    , contacts(this->context, [this](const ContactGreeting &greeting) { this->handleContact(greeting); })
    , changes(this->context)
    , peerCalls(this->snapshots, this->changes, this->contacts, this->directoryUpdater)
    , retryBudget(this->settings.retryBudget)
    , relayedStore(this->context, this->changes)
{
    this->eraCheckedStore.era().addListener(
        [this](std::uint64_t earlier, std::uint64_t current) { this->handleStoreRestored(earlier, current); });
    this->registrar = std::make_shared<LocalRegistrar>(this->context, [this] {
        if (this->inbound) {
            this->inbound->refuseQueued();
        }
    });
    this->inbound = std::make_unique<InboundProxy>(this->context, *this->registrar, this->snapshots, this->peerCalls, this->retryBudget);
    this->outbound = std::make_unique<OutboundProxy>(this->context, this->snapshots, this->inbound->chains(), this->retryBudget);
    this->control = std::make_unique<ControlServer>(this->context, *this->registrar, [this] { return this->isReady(); });
}

MeshNode::~MeshNode()
{
    this->loop.cancel(this->loadTimer);
    this->loop.cancel(this->stopTimer);
    this->loop.cancel(this->removalTimer);
}

// The timeout grows with the number of nodes that share the zone's rate of watches. A watcher counts only the zone's
// watchers. A node that queries the store because it cannot reach a watcher is likely to be one of many, so it counts all nodes of the
// zone. The first node that receives a newer configuration announces it to the others with its next requests.
core::Duration MeshNode::watchTimeout()
{
    const auto own = this->settings.ingress.toString();
    const auto &directory = this->boardSections.directory.read();
    const auto watchers = discovery::selectWatchers(directory, this->settings.availabilityZone, own);
    const bool isWatcher = std::find(watchers.begin(), watchers.end(), own) != watchers.end();
    const auto sharingNodes = isWatcher ? watchers.size() : directory.countInZone(this->settings.availabilityZone);
    const auto timeout = std::clamp(watchTimeoutPerNode * static_cast<std::int64_t>(sharingNodes), minWatchTimeout, maxWatchTimeout);
    return std::chrono::duration_cast<core::Duration>(timeout * (1 - watchJitter * core::uniform(this->random)));
}

std::shared_ptr<CollectionFollower> MeshNode::follow(const std::string &collection, const CollectionListener &listener,
                                                     const FollowOptions &options)
{
    auto &log = this->changes.changeLog(collection, options.limits);
    CollectionListener loggingListener;
    loggingListener.onListBegun = [listener, &log](std::uint64_t era) {
        listener.onListBegun(era);
        log.beginList(era);
    };
    loggingListener.onItem = [listener, &log, only = options.onlyObject](const store::CollectionItem &item) {
        listener.onItem(item);
        if (only.empty() || item.name == only) {
            log.put(item);
        }
    };
    loggingListener.onListed = [listener, &log](const std::unordered_set<std::string> &names, std::uint64_t revision) {
        listener.onListed(names, revision);
        log.reset(names, revision);
    };
    loggingListener.onCaughtUp = [this, listener, collection, &log](std::uint64_t revision) {
        listener.onCaughtUp(revision);
        log.advance(revision);
        this->changes.answerWaiters(collection);
    };
    loggingListener.onUnreadable = [this, collection](std::size_t count) { this->reportUnreadable(collection, count); };
    auto &eventLoop = this->loop;
    const auto schedule = [&eventLoop](core::Duration delay, std::function<void()> callback) {
        eventLoop.callAfter(delay, std::move(callback));
    };
    auto follower = std::make_shared<CollectionFollower>(
        this->relayedStore, collection, std::move(loggingListener), schedule, this->random, [this] { return this->watchTimeout(); },
        options.changeDelay);
    follower->start();
    return follower;
}

// Objects of another writer that cannot be read are listed again with every list, so the lines about them are sampled.
void MeshNode::reportUnreadable(const std::string &collection, std::size_t count)
{
    this->unreadableObjects += count;
    this->metrics.setGauge("figpulley_store_unreadable_objects", static_cast<double>(this->unreadableObjects));
    if (const auto omittedLines = this->sampler.tryAcquire("store.objects_unreadable", core::steadyNow())) {
        core::log(core::LogLevel::Warning, "store.objects_unreadable",
                  {{"collection", collection}, {"objects", fmt::to_string(count)}, {"left_out", fmt::to_string(*omittedLines)}});
    }
}

void MeshNode::start()
{
    CollectionListener routes;
    routes.onItem = [this](const store::CollectionItem &item) {
        if (item.name == this->wire.routesName() && !item.isDeleted) {
            this->activateRoutes(item.content);
        }
    };
    routes.onListBegun = [](std::uint64_t) {};
    routes.onListed = [](const std::unordered_set<std::string> &, std::uint64_t) {};
    routes.onCaughtUp = [](std::uint64_t) {};
    this->routesFollower = this->follow(this->wire.routesCollection(), routes, {{}, this->wire.routesName(), {}});

    CollectionListener endpoints;
    endpoints.onListBegun = [this](std::uint64_t /*era*/) { this->storedOwnRecord.reset(); };
    endpoints.onItem = [this](const store::CollectionItem &item) {
        const store::Position position {this->eraCheckedStore.era().current(), item.revision};
        if (item.name == recordName(this->settings.ingress.toString())) {
            this->storedOwnRecord =
                item.isDeleted ? std::optional<discovery::EndpointRecord> {} : discovery::decodeEndpointRecord(item.content);
        }
        if (item.isDeleted) {
            this->directoryUpdater.remove(item.name, position);
        } else {
            this->directoryUpdater.put(item.name, item.content, position, core::steadyNow());
        }
    };
    endpoints.onListed = [this](const std::unordered_set<std::string> &names, std::uint64_t revision) {
        const store::Position position {this->eraCheckedStore.era().current(), revision};
        this->directoryUpdater.retain(names, position);
        this->scheduleRemovalOfLost(position.era);
        this->peerInquiry.start();
    };
    endpoints.onCaughtUp = [this](std::uint64_t revision) {
        this->registrar->confirmRecord(this->storedOwnRecord, {this->eraCheckedStore.era().current(), revision});
    };
    store::ChangeLogLimits endpointLimits;
    endpointLimits.contentBytes = discovery::maxRecordBytes;
    this->endpointsFollower = this->follow(LocalRegistrar::collection, endpoints, {endpointChangeDelay, {}, endpointLimits});
    this->registrar->start();
    this->contacts.start();
    this->reportLoad();
    core::log(core::LogLevel::Info, "node.started",
              {{"name", this->settings.name},
               {"zone", this->settings.availabilityZone},
               {"service", this->settings.service},
               {"entrance", this->settings.entrance.toString()},
               {"ingress", this->settings.ingress.toString()},
               {"store", this->settings.store.toString()}});
}

// The first configuration may come from a backup of the store and be older than the one that the other nodes have.
void MeshNode::activateRoutes(const std::string &text)
{
    if (this->peerInquiry.hasEnded()) {
        this->configUpdater.activateIfNewer(text, "store", core::steadyNow());
        return;
    }
    this->heldRoutes = text;
    this->peerInquiry.limitTime();
}

void MeshNode::handlePeerAnswer(const std::string &node, bool isSuccessor, core::Duration keptFor)
{
    if (const auto *known = this->boardSections.directory.read().find(this->settings.ingress.toString())) {
        this->registrar->mergePeerRecord(known->record);
    }
    if (isSuccessor) {
        this->registrar->countWitness(node, keptFor);
    }
}

void MeshNode::handleContact(const ContactGreeting &greeting)
{
    if (!this->peerInquiry.askNeighbour(greeting.node)) {
        this->snapshots.fetchIfNewer(greeting.node, greeting.configVersion);
    }
}

void MeshNode::handleInquiryEnded()
{
    this->registrar->readStoredRecord();
    if (!this->heldRoutes.empty()) {
        this->configUpdater.activateIfNewer(std::exchange(this->heldRoutes, {}), "store", core::steadyNow());
    }
}

// The first era that a node hears of is not a restore, as the node has read nothing before.
void MeshNode::handleStoreRestored(std::uint64_t earlierEra, std::uint64_t era)
{
    this->metrics.setGauge("figpulley_store_era", static_cast<double>(era));
    if (earlierEra == 0) {
        core::log(core::LogLevel::Info, "store.era_known", {{"era", fmt::to_string(era)}});
        return;
    }
    this->metrics.setGauge("figpulley_store_restores_seen", static_cast<double>(++this->restoresSeen));
    core::log(core::LogLevel::Warning, "store.restored",
              {{"era", fmt::to_string(era)},
               {"earlier_era", fmt::to_string(earlierEra)},
               {"config_version", fmt::to_string(this->configUpdater.version())}});
    this->routesFollower->followEra(era);
    this->endpointsFollower->followEra(era);
}

// Gives the owners of records that a restore has lost the time to write them again.
void MeshNode::scheduleRemovalOfLost(std::uint64_t era)
{
    const auto lost = this->boardSections.directory.read().countBefore(era);
    if (lost == 0 || this->awaitedEra == era) {
        return;
    }
    this->awaitedEra = era;
    core::log(core::LogLevel::Info, "store.records_missing", {{"era", fmt::to_string(era)}, {"records", fmt::to_string(lost)}});
    this->loop.cancel(this->removalTimer);
    this->removalTimer = this->loop.callAfter(discovery::confirmationTime(lost), [this, era] {
        this->removalTimer = net::EventLoop::noTimer;
        this->awaitedEra = 0;
        this->directoryUpdater.removeLost(era, this->settings.ingress.toString());
    });
}

void MeshNode::reportLoad()
{
    const auto busyFraction = this->loop.takeBusyFraction();
    const auto load = this->inbound->load();
    const auto dispatched = this->inbound->takeDispatchCounts();
    const auto rateLimit = this->boardSections.condition.read().limit.value();
    this->metrics.setGauge("figpulley_loop_busy_share", busyFraction);
    this->metrics.setGauge("figpulley_requests_in_flight", static_cast<double>(this->outbound->inFlight()));
    this->metrics.setGauge("figpulley_slots_taken", load.running);
    this->metrics.setGauge("figpulley_requests_waiting", load.waiting);
    this->metrics.setGauge("figpulley_endpoint_limit_per_second", rateLimit.value_or(std::numeric_limits<double>::infinity()));
    this->metrics.setGauge("figpulley_change_log_bytes", static_cast<double>(this->changes.logBytes()));
    this->metrics.setGauge("figpulley_peer_answer_bytes", static_cast<double>(this->answers.bytes()));
    core::log(core::LogLevel::Info, "node.load",
              {{"busy", fmt::format("{:.2f}", busyFraction)},
               {"in_flight", fmt::to_string(this->outbound->inFlight())},
               {"running", fmt::to_string(load.running)},
               {"waiting", fmt::to_string(load.waiting)},
               {"slots", fmt::to_string(load.slots)},
               {"limit", formatRate(rateLimit)},
               {"sent", fmt::to_string(dispatched.total())},
               {"nested", fmt::to_string(dispatched.nested)},
               {"repeats", fmt::to_string(dispatched.repeats)},
               {"origins", fmt::to_string(dispatched.byOrigin.size())},
               {"largest_origin", fmt::to_string(dispatched.largestOrigin())},
               {"mean_run_ms", fmt::to_string(core::toMilliseconds(this->inbound->meanRunTime()))},
               {"endpoints", fmt::to_string(this->boardSections.directory.read().size())}});
    this->loadTimer = this->loop.callAfter(loadLogInterval, [this] { this->reportLoad(); });
}

bool MeshNode::isReady() const noexcept
{
    return this->boardSections.config.read().table != nullptr && !this->boardSections.lifecycle.read().isStopping;
}

const MeshBoard &MeshNode::board() const noexcept
{
    return this->boardSections;
}

bool MeshNode::reload(const MeshSettings &changed)
{
    auto expected = this->settings;
    expected.logLevel = changed.logLevel;
    if (!this->boardSections.lifecycle.read().isStopping) {
        expected.grace = changed.grace; // a stop that has begun ends by the grace time with which it has begun
    }
    expected.retryBudget = changed.retryBudget;
    expected.limitProbeInterval = changed.limitProbeInterval;
    this->settings = expected;
    core::setLogLevel(changed.logLevel);
    this->retryBudget.setRules(changed.retryBudget);
    this->inbound->setLimitProbeInterval(changed.limitProbeInterval);
    return expected == changed;
}

std::size_t MeshNode::inFlight() const noexcept
{
    return this->outbound->inFlight() + this->inbound->inFlight();
}

void MeshNode::stop(std::function<void(std::size_t)> callback)
{
    auto &lifecycle = this->boardSections.lifecycle.write();
    if (lifecycle.isStopping) {
        return;
    }
    this->onStopped = std::move(callback);
    lifecycle.isStopping = true;
    lifecycle.stopRequestedAt = core::steadyNow();
    lifecycle.responsesDueAt = lifecycle.stopRequestedAt + this->settings.grace - responseMargin;
    this->changes.close();
    this->contacts.close();
    core::log(core::LogLevel::Info, "node.stopping", {{"in_flight", fmt::to_string(this->inFlight())}});
    this->checkStop();
}

void MeshNode::checkStop()
{
    const auto now = core::steadyNow();
    const auto elapsed = now - this->boardSections.lifecycle.read().stopRequestedAt;
    const auto unsent = this->outbound->unsentResponses() + this->inbound->unsentResponses();
    const bool isIdle = this->inFlight() == 0 && unsent == 0 && now - this->outbound->lastArrival() > minIdleBeforeExit;
    if ((elapsed > minStopDuration && isIdle) || elapsed > this->settings.grace - graceMargin) {
        const auto cutRequests = std::max(this->inFlight(), unsent);
        this->outbound->endOpenCalls();
        std::exchange(this->onStopped, nullptr)(cutRequests);
        return;
    }
    this->inbound->refuseUnfinishable(this->boardSections.lifecycle.read().responsesDueAt);
    this->stopTimer = this->loop.callAfter(stopCheckInterval, [this] { this->checkStop(); });
}
} // namespace figpulley::mesh
