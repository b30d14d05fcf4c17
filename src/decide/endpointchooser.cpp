#include "decide/endpointchooser.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace figpulley::decide
{
namespace
{
using namespace std::chrono_literals;
using board::Endpoint;
using board::EndpointView;

constexpr double latencyWeight = 0.1; // weight of one response in the moving average
constexpr double initialLatencySeconds = 0.001; // assumed until the first response
constexpr double minColdStartWeight = 0.1; // weight of an endpoint that has just started, relative to a warm one
constexpr double otherZoneCostFactor = 1.1; // prefers the own availability zone among otherwise equal endpoints
constexpr double suspectCostFactor = 4.0; // makes endpoints that may be gone unlikely choices
constexpr core::Duration thresholdValidity = 300ms; // age up to which a reported threshold is used

const EndpointView *viewOf(const board::Blackboard &board, const Endpoint &endpoint)
{
    const auto &views = board.routing.read().views;
    const auto found = views.find(core::value(endpoint.node));
    const bool isCurrent = found != views.end() && found->second.incarnation == endpoint.incarnation;
    return isCurrent ? &found->second : nullptr;
}

// Returns the weight of an endpoint. It starts low and grows during the cold start, while the caches of the endpoint fill.
double coldStartWeight(const Endpoint &endpoint, core::Duration coldStart, core::TimePoint now)
{
    if (coldStart.count() <= 0) {
        return 1;
    }
    return std::clamp(core::toSeconds(now - endpoint.firstSeen) / core::toSeconds(coldStart), minColdStartWeight, 1.0);
}

double costOf(const board::Blackboard &board, const Endpoint &endpoint, core::Duration coldStart, core::TimePoint now)
{
    const auto *view = viewOf(board, endpoint);
    const auto latency = view != nullptr && view->latency > 0 ? view->latency : initialLatencySeconds;
    const auto outstanding = view != nullptr ? view->outstanding : 0;
    auto cost = latency * (outstanding + 1) / coldStartWeight(endpoint, coldStart, now);
    if (endpoint.availabilityZone != board.identity.availabilityZone) {
        cost *= otherZoneCostFactor;
    }
    if (endpoint.isSuspect) {
        cost *= suspectCostFactor;
    }
    return cost;
}

bool wouldAccept(const board::Blackboard &board, const Endpoint &endpoint, core::Rank rank, core::TimePoint now)
{
    const auto *view = viewOf(board, endpoint);
    const bool isKnown = view != nullptr && now - view->thresholdAt < thresholdValidity;
    return !isKnown || view->threshold <= rank;
}

bool isPaused(const board::Blackboard &board, const Endpoint &endpoint, core::TimePoint now)
{
    const auto *view = viewOf(board, endpoint);
    return view != nullptr && view->pausedUntil > now;
}

bool isLeaving(const board::Blackboard &board, const Endpoint &endpoint)
{
    const auto *view = viewOf(board, endpoint);
    return endpoint.isLeaving || (view != nullptr && view->isDraining);
}

bool isFailure(core::ErrorKind kind)
{
    return kind == core::ErrorKind::ConnectFailed || kind == core::ErrorKind::AnswerLost || kind == core::ErrorKind::AnswerShort;
}
} // namespace

std::vector<const Endpoint *> EndpointChooser::candidates(const board::Blackboard &board, std::string_view service,
                                                          std::span<const core::NodeId> tried, core::TimePoint now) const
{
    std::vector<const Endpoint *> present;
    for (const auto &endpoint : board.endpoints.read().forService(service)) {
        if (!isLeaving(board, endpoint)) {
            present.push_back(&endpoint);
        }
    }
    // Skips paused endpoints only while they are at most half of all: if more fail, the cause is more likely on this node or
    // further down the chain.
    const auto paused =
        std::count_if(present.begin(), present.end(), [&](const Endpoint *endpoint) { return isPaused(board, *endpoint, now); });
    if (static_cast<std::size_t>(paused) * 2 <= present.size()) {
        std::erase_if(present, [&](const Endpoint *endpoint) { return isPaused(board, *endpoint, now); });
    }
    std::erase_if(present,
                  [tried](const Endpoint *endpoint) { return std::find(tried.begin(), tried.end(), endpoint->node) != tried.end(); });
    return present;
}

const Endpoint *EndpointChooser::choose(board::Blackboard &board, std::string_view service, core::Rank rank,
                                        std::span<const core::NodeId> tried, core::TimePoint now, core::Random &random) const
{
    auto usable = this->candidates(board, service, tried, now);
    if (usable.empty()) {
        return nullptr;
    }
    const auto firstRefusing =
        std::partition(usable.begin(), usable.end(), [&](const Endpoint *endpoint) { return wouldAccept(board, *endpoint, rank, now); });
    if (firstRefusing != usable.begin()) {
        usable.erase(firstRefusing, usable.end());
    }
    if (usable.size() == 1) {
        return usable.front();
    }
    const auto first = core::uniformIndex(random, usable.size());
    auto second = core::uniformIndex(random, usable.size() - 1);
    if (second >= first) {
        ++second;
    }
    const auto coldStart = board.config.read().current->overload.forService(service).coldStart;
    const auto *left = usable[first];
    const auto *right = usable[second];
    return costOf(board, *left, coldStart, now) <= costOf(board, *right, coldStart, now) ? left : right;
}

void EndpointChooser::recordSent(board::Blackboard &board, const Endpoint &endpoint) const
{
    auto &view = board.routing.write().views[core::value(endpoint.node)];
    if (view.incarnation != endpoint.incarnation) {
        const auto outstanding = view.outstanding;
        view = {};
        view.incarnation = endpoint.incarnation;
        view.outstanding = outstanding;
    }
    ++view.outstanding;
}

void EndpointChooser::recordResult(board::Blackboard &board, std::string_view service, core::NodeId node, const EndpointReport &report,
                                   core::TimePoint now) const
{
    auto &view = board.routing.write().views[core::value(node)];
    view.outstanding = std::max(0, view.outstanding - 1);
    if (report.hasThreshold) {
        view.threshold = report.threshold;
        view.thresholdAt = now;
    }
    if (report.kind == core::ErrorKind::Draining) {
        view.isDraining = true;
        return;
    }
    if (isFailure(report.kind)) {
        const auto &policy = board.config.read().current->overload.forService(service);
        ++view.consecutiveFailures;
        if (view.consecutiveFailures >= policy.outlierFailures) {
            view.pausedUntil = now + policy.outlierPause;
            view.consecutiveFailures = 0;
        }
        return;
    }
    if (report.hasThreshold) {
        view.consecutiveFailures = 0;
    }
    if (report.kind == core::ErrorKind::None) {
        const auto latency = core::toSeconds(report.latency);
        view.latency = view.latency == 0 ? latency : view.latency + latencyWeight * (latency - view.latency);
    }
}

bool EndpointChooser::hasAcceptingAlternative(const board::Blackboard &board, std::string_view service, core::Rank rank,
                                              std::span<const core::NodeId> tried, core::TimePoint now) const
{
    const auto others = this->candidates(board, service, tried, now);
    return std::any_of(others.begin(), others.end(), [&](const Endpoint *endpoint) { return wouldAccept(board, *endpoint, rank, now); });
}
} // namespace figpulley::decide
