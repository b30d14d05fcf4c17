#include "mesh/peerinquiry.h"

#include "core/log.h"
#include "discovery/neighbours.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;

// Some of the peers may have restarted as well, or be cut off from this node.
constexpr std::size_t maxPeers = 5;
// Nodes that have this one as a successor, and a few more while directories differ.
constexpr std::size_t maxNeighbours = 4;
// Successors that have to answer: a departure that was acknowledged without the store is known to two of three. A peer that has restarted
// as well has asked others itself; later answers are still taken over.
constexpr std::size_t sufficientAnswers = 2;
// The node is not ready meanwhile, and a change of the configuration has to be active within 2 s.
constexpr core::Duration maxDuration = 1s;
} // namespace

PeerInquiry::PeerInquiry(MeshContext context, SnapshotExchange &snapshots, AnswerCallback onAnswer, std::function<void()> onEnded)
    : context(context)
    , snapshots(snapshots)
    , onAnswer(std::move(onAnswer))
    , onEnded(std::move(onEnded))
{
}

PeerInquiry::~PeerInquiry()
{
    this->context.loop.cancel(this->limitTimer);
}

void PeerInquiry::start()
{
    if (this->isStarted) {
        return;
    }
    this->isStarted = true;
    const auto peers = this->selectPeers();
    this->pendingPeers = peers.size();
    if (peers.empty()) {
        this->end("no other node known");
    }
    for (const auto &peer : peers) {
        this->snapshots.fetchOwn(peer.node, [this, peer](const SnapshotSummary &summary) { this->handleAnswer(peer, summary); });
    }
}

void PeerInquiry::handleAnswer(const Peer &peer, const SnapshotSummary &summary)
{
    --this->pendingPeers;
    if (summary.hasConfig) {
        ++this->answers;
        this->successorAnswers += peer.isSuccessor ? 1 : 0;
        this->onAnswer(peer.node, peer.isSuccessor, summary.keptFor);
    }
    if (this->successorAnswers >= sufficientAnswers || this->pendingPeers == 0) {
        this->end("peers have answered or failed");
    }
}

void PeerInquiry::limitTime()
{
    if (this->isEnded || this->limitTimer != net::EventLoop::noTimer) {
        return;
    }
    this->limitTimer = this->context.loop.callAfter(maxDuration, [this] {
        this->limitTimer = net::EventLoop::noTimer;
        this->end("time limit");
    });
}

// Each snapshot of all records may be a part of them, so every neighbour that is asked for its record of this node is asked for both.
bool PeerInquiry::askNeighbour(const std::string &node)
{
    const bool isEnough = this->askedNeighbours.size() >= maxNeighbours;
    if (this->isStarted || isEnough || !this->askedNeighbours.insert(node).second) {
        return false;
    }
    core::log(core::LogLevel::Info, "neighbour.asked", {{"node", node}});
    this->snapshots.fetchOwn(node, [this, node](const SnapshotSummary &summary) { this->handleNeighbourAnswer(node, summary); });
    this->snapshots.fetchAll(node, [](const SnapshotSummary &) {});
    return true;
}

// A neighbour that has failed, or that knows as little, is asked again when it renews its contact.
void PeerInquiry::handleNeighbourAnswer(const std::string &node, const SnapshotSummary &summary)
{
    if (summary.hasConfig) {
        this->onAnswer(node, true, summary.keptFor);
    } else {
        this->askedNeighbours.erase(node);
    }
}

bool PeerInquiry::hasEnded() const noexcept
{
    return this->isEnded;
}

// Returns the successors, and some other nodes that may know a newer configuration.
std::vector<PeerInquiry::Peer> PeerInquiry::selectPeers() const
{
    const auto &settings = this->context.settings;
    const auto own = settings.ingress.toString();
    const auto &directory = this->context.board.directory.read();
    std::vector<Peer> peers;
    for (const auto &node : discovery::selectSuccessors(directory, own, settings.availabilityZone)) {
        peers.push_back({node, true});
    }
    const auto isSelected = [&](const std::string &node) {
        return std::any_of(peers.begin(), peers.end(), [&](const Peer &peer) { return peer.node == node; });
    };
    std::vector<Peer> others;
    for (const auto *known : directory.allEndpoints()) {
        const auto &record = known->record;
        if (record.node != own && record.state != discovery::EndpointState::Gone && !isSelected(record.node)) {
            others.push_back({record.node, false});
        }
    }
    std::shuffle(others.begin(), others.end(), this->context.random);
    others.resize(std::min(others.size(), maxPeers - std::min(maxPeers, peers.size())));
    peers.insert(peers.end(), others.begin(), others.end());
    return peers;
}

void PeerInquiry::end(const char *cause)
{
    if (std::exchange(this->isEnded, true)) {
        return;
    }
    this->context.loop.cancel(this->limitTimer);
    this->limitTimer = net::EventLoop::noTimer;
    core::log(core::LogLevel::Info, "peers.asked",
              {{"cause", cause}, {"answers", fmt::to_string(this->answers)}, {"pending", fmt::to_string(this->pendingPeers)}});
    this->onEnded();
}
} // namespace figpulley::mesh
