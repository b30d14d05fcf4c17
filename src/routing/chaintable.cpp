#include "routing/chaintable.h"

#include <algorithm>
#include <utility>

namespace figpulley::routing
{
void ChainTable::addRun(const std::string &requestId, const ChainContext &context, CallReservation reservation)
{
    this->activeRuns.insert_or_assign(requestId, ActiveRun {context, {}, {}, std::move(reservation)});
}

core::Duration ChainTable::removeRun(const std::string &requestId, bool isAnswered)
{
    const auto found = this->activeRuns.find(requestId);
    if (found == this->activeRuns.end()) {
        return {};
    }
    const auto nestedTime = found->second.nestedTime;
    if (isAnswered) {
        this->profile.addRun(found->second.calls);
    }
    this->activeRuns.erase(found);
    return nestedTime;
}

bool ChainTable::beginNestedCall(std::string_view requestId, const std::string &service)
{
    const auto found = this->activeRuns.find(std::string(requestId));
    if (found == this->activeRuns.end()) {
        return false;
    }
    ++found->second.calls[service];
    return found->second.reservation.take(service);
}

CallReservation::Calls ChainTable::expectedCalls() const
{
    return this->profile.expectedCalls();
}

void ChainTable::addNestedCall(std::string_view requestId, core::Duration duration, bool isCompleted)
{
    const auto found = this->activeRuns.find(std::string(requestId));
    if (found != this->activeRuns.end()) {
        found->second.nestedTime += duration;
        found->second.context.completedCalls += isCompleted ? 1 : 0;
    }
}

// The caller's address does not identify a nested call, since clients on a VM have the same address as its endpoint. A run that began
// before this process is not in the table; its nested calls get the rank of their own route.
ChainContext ChainTable::contextOf(std::string_view parentId, std::string_view requestId, int priority) const
{
    const auto found = parentId.empty() ? this->activeRuns.end() : this->activeRuns.find(std::string(parentId));
    if (found == this->activeRuns.end()) {
        return {rootRank(priority, requestId), false, !parentId.empty()};
    }
    auto context = found->second.context;
    context.isNested = true;
    return context;
}

core::Rank rootRank(int priority, std::string_view requestId) noexcept
{
    const auto highest = static_cast<int>(core::Rank::maximumLevels) - 1;
    return core::Rank::of(static_cast<std::uint32_t>(highest - std::clamp(priority, 0, highest)), requestId);
}
} // namespace figpulley::routing
