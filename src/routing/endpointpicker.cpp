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

constexpr std::array<std::string_view, 6> outcomeNames {"served", "failed", "full", "leaving", "unreachable", "cancelled"};
static_assert(outcomeNames.size() == static_cast<std::size_t>(AttemptOutcome::Cancelled) + 1, "every outcome has a name");

// Penalties are in units of occupancy: an endpoint without the penalty is preferred unless its occupancy is higher by more than this.
constexpr double otherZonePenalty = 0.5;
constexpr double coldPenalty = 0.4; // a cold endpoint takes about twice as long per request for some seconds
constexpr double failurePenalty = 3.0;
constexpr double failureSmoothing = 0.1; // weight of the newest result in the moving average
constexpr double tieBreak = 0.02;
constexpr core::Duration loadReportHalfLife = 500ms; // several response times; an older report says little about the present load
constexpr core::Duration failurePenaltyHalfLife = 2s;
constexpr double limitReachedPenalty = 1.0; // an endpoint whose rate limit allows no request yet is as costly as one without a free slot
constexpr core::Duration minSuspension = 250ms;
constexpr core::Duration maxSuspension = 2s; // a node that is reachable again gets requests again within this time
constexpr core::Duration leavingSuspension = 1s; // the store reports the departure within this time
constexpr int defaultSlots = 16; // used for an endpoint that does not report its slots

double decay(core::Duration age, core::Duration halfLife)
{
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

// Occupancy that follows from the use of the rate limit.
double limitOccupancy(const EndpointCondition &condition, core::Duration age)
{
    const auto penalty = age < condition.availableIn ? limitReachedPenalty : 0;
    return condition.utilization * decay(age, loadReportHalfLife) + penalty;
}
} // namespace

std::string_view name(AttemptOutcome outcome) noexcept
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

double EndpointPicker::occupancy(const KnownEndpoint &endpoint, core::TimePoint now) const
{
    const int slots = endpoint.record.slots > 0 ? endpoint.record.slots : defaultSlots;
    const auto found = this->stats.find(endpoint.record.node);
    if (found == this->stats.end()) {
        return 0;
    }
    const auto &endpointStats = found->second;
    double inUse = endpointStats.outstanding;
    if (endpointStats.reportedAt != core::TimePoint {}) {
        const double estimate =
            endpointStats.load.running + endpointStats.load.waiting + (endpointStats.outstanding - endpointStats.outstandingAtReport);
        const auto weight = decay(now - endpointStats.reportedAt, loadReportHalfLife);
        inUse = std::max(inUse, estimate * weight + inUse * (1 - weight));
    }
    const auto occupancy = inUse / slots;
    const auto *condition = this->knownCondition(endpoint);
    return condition != nullptr && condition->rateLimit
        ? std::max(occupancy, limitOccupancy(*condition, now - endpointStats.conditionUpdated))
        : occupancy;
}

// The directory may show a departed incarnation for some time, so a condition also counts for earlier incarnations.
const EndpointCondition *EndpointPicker::knownCondition(const KnownEndpoint &endpoint) const
{
    const auto found = this->stats.find(endpoint.record.node);
    if (found == this->stats.end()) {
        return nullptr;
    }
    const auto &condition = found->second.condition;
    const bool concernsEndpoint = condition.endpointId == endpoint.record.id && condition.incarnation >= endpoint.record.incarnation;
    return concernsEndpoint ? &condition : nullptr;
}

bool EndpointPicker::recordCondition(const std::string &node, const std::optional<EndpointCondition> &condition, core::TimePoint now)
{
    auto &known = this->stats[node].condition;
    const auto earlier = known;
    if (!condition) {
        known.rateLimit.reset();
        return earlier.rateLimit.has_value();
    }
    if (condition->incarnation < earlier.incarnation) {
        return false; // a late report on an earlier incarnation
    }
    const bool isSameIncarnation = condition->endpointId == earlier.endpointId && condition->incarnation == earlier.incarnation;
    known = *condition;
    known.isLeaving = condition->isLeaving || (isSameIncarnation && earlier.isLeaving);
    this->stats[node].conditionUpdated = now;
    return !isSameIncarnation || known.rateLimit != earlier.rateLimit || known.isLeaving != earlier.isLeaving;
}

const KnownEndpoint *EndpointPicker::pick(const discovery::Directory &directory, const PickRequest &request, core::Random &random) const
{
    const KnownEndpoint *best = nullptr;
    double bestCost = 0;
    bool isBestSuspended = false;
    for (const auto *endpoint : directory.readyEndpoints(request.service)) {
        const auto &node = endpoint->record.node;
        const bool isExcluded =
            request.tried != nullptr && std::find(request.tried->begin(), request.tried->end(), node) != request.tried->end();
        const auto *condition = this->knownCondition(*endpoint);
        if (isExcluded || (condition != nullptr && condition->isLeaving)) {
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
        if (const auto found = this->stats.find(node); found != this->stats.end()) {
            isSuspended = request.now < found->second.suspendedUntil;
            cost +=
                failurePenalty * found->second.failureRate * decay(request.now - found->second.failureRateUpdated, failurePenaltyHalfLife);
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

void EndpointPicker::recordSent(const std::string &node)
{
    ++this->stats[node].outstanding;
}

void EndpointPicker::recordOutcome(const std::string &node, AttemptOutcome outcome, const std::optional<EndpointLoad> &load,
                                   core::TimePoint now)
{
    auto &endpointStats = this->stats[node];
    endpointStats.outstanding = std::max(0, endpointStats.outstanding - 1);
    if (load) {
        endpointStats.load = *load;
        endpointStats.reportedAt = now;
        endpointStats.outstandingAtReport = endpointStats.outstanding;
    }
    if (outcome == AttemptOutcome::Served || outcome == AttemptOutcome::Failed) {
        const double result = outcome == AttemptOutcome::Failed ? 1 : 0;
        endpointStats.failureRate += failureSmoothing * (result - endpointStats.failureRate);
        endpointStats.failureRateUpdated = now;
    }
    switch (outcome) {
    case AttemptOutcome::Unreachable:
        ++endpointStats.consecutiveUnreachable;
        endpointStats.suspendedUntil =
            now + std::min(maxSuspension, minSuspension * (1 << std::min(endpointStats.consecutiveUnreachable - 1, 4)));
        break;
    case AttemptOutcome::Leaving:
        endpointStats.suspendedUntil = now + leavingSuspension;
        break;
    case AttemptOutcome::Served:
        endpointStats.consecutiveUnreachable = 0;
        endpointStats.suspendedUntil = {};
        break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Full:
    case AttemptOutcome::Cancelled:
        break;
    }
}

bool EndpointPicker::isSuspended(const std::string &node, core::TimePoint now) const
{
    const auto found = this->stats.find(node);
    return found != this->stats.end() && now < found->second.suspendedUntil;
}
} // namespace figpulley::routing
