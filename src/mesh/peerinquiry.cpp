#include "mesh/peerinquiry.h"

#include "core/log.h"
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
// A peer that has restarted as well has asked others itself; later answers are still taken over.
constexpr std::size_t sufficientAnswers = 2;
// The node is not ready meanwhile, and a change of the configuration has to be active within 2 s.
constexpr core::Duration maxDuration = 1s;
} // namespace

PeerInquiry::PeerInquiry(MeshContext context, SnapshotExchange &snapshots, std::function<void()> onAnswer, std::function<void()> onEnded)
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
    for (const auto &node : peers) {
        this->snapshots.fetchOwn(node, [this](bool hasConfig) { this->handleAnswer(hasConfig); });
    }
}

void PeerInquiry::handleAnswer(bool hasConfig)
{
    --this->pendingPeers;
    this->answers += hasConfig ? 1 : 0;
    if (hasConfig) {
        this->onAnswer();
    }
    if (this->answers >= sufficientAnswers || this->pendingPeers == 0) {
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
    this->snapshots.fetchOwn(node, [this, node](bool hasConfig) { this->handleNeighbourAnswer(node, hasConfig); });
    this->snapshots.fetchAll(node, [](bool) {});
    return true;
}

// A neighbour that has failed, or that knows as little, is asked again when it renews its contact.
void PeerInquiry::handleNeighbourAnswer(const std::string &node, bool hasConfig)
{
    if (hasConfig) {
        this->onAnswer();
    } else {
        this->askedNeighbours.erase(node);
    }
}

bool PeerInquiry::hasEnded() const noexcept
{
    return this->isEnded;
}

std::vector<std::string> PeerInquiry::selectPeers() const
{
    const auto own = this->context.settings.ingress.toString();
    std::vector<std::string> peers;
    for (const auto *known : this->context.board.directory.read().allEndpoints()) {
        if (known->record.node != own && known->record.state != discovery::EndpointState::Gone) {
            peers.push_back(known->record.node);
        }
    }
    std::shuffle(peers.begin(), peers.end(), this->context.random);
    peers.resize(std::min(peers.size(), maxPeers));
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
