#include "node/controlserver.h"

#include "config/load.h"
#include "core/json.h"
#include "core/log.h"
#include "net/query.h"
#include "node/contactlist.h"
#include "node/headernames.h"
#include "node/statusreport.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::node
{
namespace
{
using namespace std::chrono_literals;
using core::ErrorKind;
using core::LogLevel;

constexpr core::Duration tickInterval = 50ms;
constexpr core::Duration upstreamPollInterval = 500ms;
constexpr core::Duration contactRefreshInterval = 60s;
constexpr core::Duration joiningContactRefreshInterval = 2s;
constexpr std::size_t bridgesPerZone = 3;
constexpr core::Duration platformTimeout = 3s;
constexpr core::Duration fetchTimeout = 2s;
constexpr std::size_t maxConfigBytes = 64UL << 20U;
constexpr std::size_t maxHealthBytes = 4096;
constexpr std::size_t relaysPerZone = 3;
constexpr std::size_t signatureLengthBytes = 2; // size of the field that gives the signature's length in a datagram
constexpr int httpNotFound = 404;
constexpr int httpForbidden = 403;

// Encodes a datagram: the length of the signature, the signature and the message.
std::string encodeDatagram(const trust::KeyRing &keys, const std::string &message)
{
    const auto signature = keys.sign(message);
    std::string bytes;
    bytes.reserve(signatureLengthBytes + signature.size() + message.size());
    bytes += static_cast<char>(signature.size() / 256);
    bytes += static_cast<char>(signature.size() % 256);
    bytes += signature;
    bytes += message;
    return bytes;
}

// Returns the message of a datagram, or nothing if the datagram is truncated or its signature is not valid.
std::optional<std::string_view> verifyDatagram(const trust::KeyRing &keys, std::string_view bytes)
{
    if (bytes.size() < signatureLengthBytes) {
        return std::nullopt;
    }
    const auto length = static_cast<std::size_t>(static_cast<unsigned char>(bytes[0])) * 256 + static_cast<unsigned char>(bytes[1]);
    if (bytes.size() < signatureLengthBytes + length) {
        return std::nullopt;
    }
    const auto signature = bytes.substr(signatureLengthBytes, length);
    const auto message = bytes.substr(signatureLengthBytes + length);
    if (!keys.isValid(message, signature)) {
        return std::nullopt;
    }
    return message;
}

members::SwimOptions makeSwimOptions(const NodeSettings &settings)
{
    members::SwimOptions options;
    options.seeds = settings.seeds;
    return options;
}
} // namespace

ControlServer::ControlServer(NodeContext context)
    : context(context)
    , swim(makeSwimOptions(context.settings))
{
    this->server =
        std::make_unique<net::HttpServer>(context.loop, context.settings.control,
                                          [this](const std::shared_ptr<net::HttpExchange> &exchange) { this->handleRequest(exchange); });
    // Datagrams and HTTP use the same port number, so that a node has a single control address.
    this->socket = std::make_unique<net::DatagramSocket>(
        context.loop, this->server->address(), [this](const net::Address &from, std::string_view bytes) { this->receive(from, bytes); });
    this->configController.applyIfNewer(this->context.board, config::builtInConfiguration());
}

ControlServer::~ControlServer()
{
    for (const auto timer : this->timers) {
        this->context.loop.cancel(timer);
    }
    this->context.loop.cancel(this->contactsTimer);
}

net::Address ControlServer::address() const
{
    return this->socket->address();
}

const ControlTraffic &ControlServer::traffic() const noexcept
{
    return this->counters;
}

void ControlServer::start()
{
    auto &loop = this->context.loop;
    this->swim.start(this->context.board, core::steadyNow());
    this->updateDirectory();
    if (this->context.settings.platform) {
        this->store =
            std::make_unique<store::HttpObjectStore>(this->context.client, this->context.settings.platform->toString(), platformTimeout);
        this->relay = std::make_shared<sync::ConfigRelay>(
            *this->store, [&loop](core::Duration delay, std::function<void()> callback) { loop.callAfter(delay, std::move(callback)); },
            this->snapshots, [this](sync::Snapshot snapshot) { this->applySnapshot(std::move(snapshot)); }, this->context.random());
        this->readContacts();
        this->scheduleContactRefresh();
    }
    this->timers.push_back(loop.callEvery(tickInterval, [this] { this->tick(); }));
    if (this->context.settings.upstream) {
        this->timers.push_back(loop.callEvery(upstreamPollInterval, [this] { this->pollUpstream(); }));
    }
}

void ControlServer::tick()
{
    this->sendAll(this->swim.tick(this->context.board, core::steadyNow(), this->context.random));
    this->updateDirectory();
    if (!this->isFetching && this->wantedRevision > this->snapshots.current().manifest.revision) {
        this->fetchConfig();
    }
    if (this->relay) {
        this->relay->setActive(this->swim.holdsRole(this->context.board, "relay", relaysPerZone));
    }
}

void ControlServer::updateDirectory()
{
    const auto generation = this->context.board.membership.read().generation;
    if (generation != this->directoryGeneration) {
        this->directoryGeneration = generation;
        this->directory.rebuild(this->context.board);
    }
}

void ControlServer::sendAll(const members::OutgoingMessages &list)
{
    for (const auto &outgoing : list) {
        const auto to = net::parseAddress(outgoing.to);
        if (!to) {
            continue;
        }
        const auto bytes = encodeDatagram(this->context.settings.keys, members::encode(outgoing.message));
        ++this->counters.datagramsSent;
        this->counters.bytesSent += bytes.size();
        this->socket->send(*to, bytes);
    }
}

void ControlServer::receive(const net::Address & /*from*/, std::string_view bytes)
{
    ++this->counters.datagramsReceived;
    this->counters.bytesReceived += bytes.size();
    const auto text = verifyDatagram(this->context.settings.keys, bytes);
    const auto message = text ? members::decodeSwimMessage(*text) : std::nullopt;
    if (!message) {
        ++this->counters.rejected;
        return;
    }
    this->recordAdvertisedRevision(*message);
    this->sendAll(this->swim.receive(this->context.board, *message, core::steadyNow(), this->context.random));
    this->updateDirectory();
}

void ControlServer::recordAdvertisedRevision(const members::SwimMessage &message)
{
    if (message.configRevision > std::max(this->wantedRevision, this->snapshots.current().manifest.revision)) {
        this->wantedRevision = message.configRevision;
        this->wantedRevisionPeer = message.sender;
        if (!this->isFetching) {
            this->fetchConfig();
        }
    }
}

// Fetches the configuration from the peer that advertised the revision, so that the fetches spread over the nodes along the
// paths of the gossip.
void ControlServer::fetchConfig()
{
    this->isFetching = true;
    ++this->counters.configFetches;
    const auto have = this->snapshots.current().manifest.revision;
    net::ClientRequest request;
    request.url = fmt::format("http://{}/config?have={}", this->wantedRevisionPeer, have);
    request.timeout = fetchTimeout;
    request.headers.push_back({std::string(proofHeader), this->context.settings.keys.sign(fmt::format("config {}", have))});
    this->context.client.fetch(request, maxConfigBytes, [this](const net::ClientResponse &response) {
        this->isFetching = false;
        auto snapshot = response.result.kind == ErrorKind::None ? this->snapshots.applyDelta(response.body) : std::nullopt;
        if (snapshot) {
            this->applySnapshot(std::move(*snapshot));
            return;
        }
        // The fetch is repeated as soon as a peer advertises a newer revision.
        this->wantedRevision = 0;
    });
}

void ControlServer::applySnapshot(sync::Snapshot snapshot)
{
    text::Problems problems;
    if (snapshot.manifest.revision <= this->snapshots.current().manifest.revision || !snapshot.missingHashes().empty()) {
        return;
    }
    auto configuration = config::load(snapshot.files(), problems);
    const auto revision = snapshot.manifest.revision;
    if (!configuration) {
        this->configProblem = fmt::format("revision {}: {}", revision, text::describe(problems.front()));
        core::log(LogLevel::Error, "config.not_understood", {{"revision", fmt::to_string(revision)}, {"problem", this->configProblem}});
        return;
    }
    configuration->revision = revision;
    this->snapshots.applyIfNewer(std::move(snapshot));
    if (this->configController.applyIfNewer(this->context.board, std::move(configuration))) {
        this->configProblem.clear();
        core::log(LogLevel::Info, "config.in_force",
                  {{"revision", fmt::to_string(revision)}, {"node", this->context.board.identity.controlAddress}});
    }
}

void ControlServer::announceLeaving(bool isLeaving)
{
    this->sendAll(this->swim.announceLeaving(this->context.board, isLeaving, core::steadyNow(), this->context.random));
    this->updateDirectory();
}

// Reads only whether the upstream is draining. Its load report is ignored, because it lags and can be wrong.
void ControlServer::pollUpstream()
{
    net::ClientRequest request;
    request.url = fmt::format("http://{}/health", this->context.settings.upstream->toString());
    request.timeout = upstreamPollInterval;
    this->context.client.fetch(request, maxHealthBytes, [this](const net::ClientResponse &response) {
        if (response.result.kind != ErrorKind::None) {
            return;
        }
        const auto health = core::parseJson(response.body);
        if (!health.is_object()) {
            return;
        }
        const auto draining = health.find("draining");
        const bool isDraining = draining != health.end() && draining->is_boolean() && draining->get<bool>();
        if (this->drainController.setUpstreamDraining(this->context.board, isDraining)) {
            this->announceLeaving(this->context.board.drain.read().isLeaving());
        }
    });
}

// Schedules the next read of the contact points. At the design size, 17,000 nodes that read the lists of all zones every 20 s
// would send 23,000 calls per second to the platform. A node therefore reads them until it has joined, and later only while it
// is a bridge of its zone.
void ControlServer::scheduleContactRefresh()
{
    const auto &state = this->context.board.membership.read();
    const bool hasNoMembers = state.members.empty();
    const auto base = hasNoMembers ? joiningContactRefreshInterval : contactRefreshInterval;
    const auto jitter = core::Duration(static_cast<std::int64_t>(core::uniform(this->context.random) * static_cast<double>(base.count())));
    this->contactsTimer = this->context.loop.callAfter(base / 2 + jitter, [this] {
        const bool hasStillNoMembers = this->context.board.membership.read().members.empty();
        if (hasStillNoMembers || this->swim.holdsRole(this->context.board, "bridge", bridgesPerZone)) {
            this->readContacts();
        }
        this->scheduleContactRefresh();
    });
}

void ControlServer::readContacts()
{
    this->store->list(contactPrefix, [this](const store::ListResult &result) {
        for (const auto &name : result.objects) {
            this->store->get(name.key, [this](const store::StoreResult &object) {
                if (object.kind == ErrorKind::None) {
                    this->swim.addSeeds(decodeContacts(object.object.value));
                }
            });
        }
        this->publishContacts();
    });
}

// One node writes the contact points for its whole zone, and only when too few of the published ones are live.
void ControlServer::publishContacts()
{
    if (!this->swim.holdsRole(this->context.board, "bridge", 1)) {
        return;
    }
    const auto key = contactKey(this->context.settings.availabilityZone);
    this->store->get(key, [this, key](const store::StoreResult &result) {
        const bool isRead = result.kind == ErrorKind::None || result.kind == ErrorKind::NotFound;
        const auto wanted = isRead ? contactsToPublish(this->context.board, decodeContacts(result.object.value)) : std::nullopt;
        if (wanted) {
            this->store->put(key, encodeContacts(*wanted), {result.object.version}, [](const store::StoreResult &) {});
        }
    });
}

std::string ControlServer::statusJson() const
{
    StatusInputs inputs;
    inputs.manifest = &this->snapshots.current().manifest;
    inputs.configProblem = this->configProblem;
    inputs.isPlatformReachable = this->relay && this->relay->isPlatformReachable();
    inputs.olderRootRevision = this->relay ? this->relay->olderRootRevision() : 0;
    inputs.bytesSent = this->counters.bytesSent;
    inputs.datagramsSent = this->counters.datagramsSent;
    return statusReport(this->context.board, inputs, core::steadyNow());
}

void ControlServer::updateGauges()
{
    const auto &board = this->context.board;
    auto &metrics = this->context.metrics;
    const auto &admission = board.admission.read();
    metrics.setGauge("figpulley_concurrency_limit", admission.limit.limit);
    metrics.setGauge("figpulley_running_calls", admission.running);
    metrics.setGauge("figpulley_queued_calls", static_cast<double>(admission.queue.size()));
    metrics.setGauge("figpulley_shed_threshold", admission.threshold.value());
    metrics.setGauge("figpulley_config_revision", static_cast<double>(this->snapshots.current().manifest.revision));
    metrics.setGauge("figpulley_members", static_cast<double>(board.membership.read().members.size() + 1));
    metrics.setGauge("figpulley_isolated", board.membership.read().isIsolated ? 1 : 0);
    metrics.setGauge("figpulley_control_bytes_sent", static_cast<double>(this->counters.bytesSent));
}

void ControlServer::handleRequest(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    if (request.path == "/metrics") {
        this->updateGauges();
        exchange->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, this->context.metrics.exposition()});
    } else if (request.path == "/status") {
        exchange->respond({200, {{"Content-Type", "application/json"}}, this->statusJson()});
    } else if (request.path == "/config") {
        const auto have = net::findQueryNumber(request.query, "have").value_or(0);
        const bool isNode =
            this->context.settings.keys.isValid(fmt::format("config {}", have), net::findHeader(request.headers, proofHeader));
        if (!isNode) {
            exchange->respond({httpForbidden, {}, "not a node\n"});
            return;
        }
        exchange->respond({200, {{"Content-Type", "application/json"}}, this->snapshots.encodeDelta(have)});
    } else {
        exchange->respond({httpNotFound, {}, "known paths: /metrics /status /config\n"});
    }
}
} // namespace figpulley::node
