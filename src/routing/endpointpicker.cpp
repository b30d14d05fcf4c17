#include "routing/endpointpicker.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace figpulley::routing
{
namespace
{
using namespace std::chrono_literals;
using discovery::KnownEndpoint;

constexpr std::array<std::string_view, 6> endNames {"served", "failed", "full", "leaving", "unreachable", "cancelled"};
static_assert(endNames.size() == static_cast<std::size_t>(AttemptEnd::Cancelled) + 1, "every end has a name");

// All penalties are in units of occupancy, so that they say how much fuller another endpoint may be before it is preferred.
constexpr double otherZonePenalty = 0.5;
constexpr double coldPenalty = 0.4; // a cold endpoint takes about twice as long for some seconds
constexpr double failurePenalty = 3.0;
constexpr double failureWeight = 0.1; // of the newest result in the moving average
constexpr double tieBreak = 0.02;
constexpr core::Duration reportHalfLife = 500ms; // several answers' time: an older report says little of the load now
constexpr core::Duration failureHalfLife = 2s;
constexpr core::Duration shortestSuspension = 250ms;
constexpr core::Duration longestSuspension = 2s; // a node that is back gets requests again within it
constexpr core::Duration leavingSuspension = 1s; // the store tells of a departure within it
constexpr int assumedSlots = 16; // where an endpoint does not tell its slots

double decay(core::Duration age, core::Duration halfLife)
{
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}
} // namespace

std::string_view name(AttemptEnd end) noexcept
{
    return endNames[static_cast<std::size_t>(end)];
}

double EndpointPicker::occupancy(const KnownEndpoint &endpoint, core::TimePoint now) const
{
    const int slots = endpoint.record.slots > 0 ? endpoint.record.slots : assumedSlots;
    const auto found = this->views.find(endpoint.record.node);
    if (found == this->views.end()) {
        return 0;
    }
    const auto &view = found->second;
    double busy = view.outstanding;
    if (view.reportedAt != core::TimePoint {}) {
        const double reported = view.load.running + view.load.waiting + (view.outstanding - view.outstandingAtReport);
        const auto weight = decay(now - view.reportedAt, reportHalfLife);
        busy = std::max(busy, reported * weight + busy * (1 - weight));
    }
    return busy / slots;
}

const KnownEndpoint *EndpointPicker::pick(const discovery::Directory &directory, const PickRequest &request, core::Random &random) const
{
    const KnownEndpoint *best = nullptr;
    double bestCost = 0;
    bool isBestSuspended = false;
    for (const auto *endpoint : directory.readyEndpoints(request.service)) {
        const auto &node = endpoint->record.node;
        const bool isTried =
            request.tried != nullptr && std::find(request.tried->begin(), request.tried->end(), node) != request.tried->end();
        if (isTried) {
            continue;
        }
        double cost = this->occupancy(*endpoint, request.now) + core::uniform(random) * tieBreak;
        if (endpoint->record.zone != request.zone) {
            cost += otherZonePenalty;
        }
        if (request.now < endpoint->coldUntil) {
            cost += coldPenalty;
        }
        bool isSuspended = false;
        if (const auto found = this->views.find(node); found != this->views.end()) {
            isSuspended = request.now < found->second.suspendedUntil;
            cost += failurePenalty * found->second.failures * decay(request.now - found->second.failedAt, failureHalfLife);
        }
        const bool isBetter = best == nullptr || (isBestSuspended && !isSuspended) || (isBestSuspended == isSuspended && cost < bestCost);
        if (isBetter) {
            best = endpoint;
            bestCost = cost;
            isBestSuspended = isSuspended;
        }
    }
    return best;
}

void EndpointPicker::sent(const std::string &node)
{
    ++this->views[node].outstanding;
}

void EndpointPicker::ended(const std::string &node, AttemptEnd end, const std::optional<EndpointLoad> &load, core::TimePoint now)
{
    auto &view = this->views[node];
    view.outstanding = std::max(0, view.outstanding - 1);
    if (load) {
        view.load = *load;
        view.reportedAt = now;
        view.outstandingAtReport = view.outstanding;
    }
    if (end == AttemptEnd::Served || end == AttemptEnd::Failed) {
        const double result = end == AttemptEnd::Failed ? 1 : 0;
        view.failures += failureWeight * (result - view.failures);
        view.failedAt = now;
    }
    switch (end) {
    case AttemptEnd::Unreachable:
        ++view.unreachableInRow;
        view.suspendedUntil = now + std::min(longestSuspension, shortestSuspension * (1 << std::min(view.unreachableInRow - 1, 4)));
        break;
    case AttemptEnd::Leaving:
        view.suspendedUntil = now + leavingSuspension;
        break;
    case AttemptEnd::Served:
        view.unreachableInRow = 0;
        view.suspendedUntil = {};
        break;
    case AttemptEnd::Failed:
    case AttemptEnd::Full:
    case AttemptEnd::Cancelled:
        break;
    }
}

bool EndpointPicker::isSuspended(const std::string &node, core::TimePoint now) const
{
    const auto found = this->views.find(node);
    return found != this->views.end() && now < found->second.suspendedUntil;
}
} // namespace figpulley::routing
