#include "routing/chaintable.h"

#include <algorithm>

namespace figpulley::routing
{
void ChainTable::begin(const std::string &requestId, const ChainContext &context)
{
    this->running.insert_or_assign(requestId, Running {context, {}});
}

core::Duration ChainTable::end(const std::string &requestId)
{
    const auto found = this->running.find(requestId);
    if (found == this->running.end()) {
        return {};
    }
    const auto nested = found->second.nested;
    this->running.erase(found);
    return nested;
}

void ChainTable::addNested(std::string_view requestId, core::Duration duration)
{
    const auto found = this->running.find(std::string(requestId));
    if (found != this->running.end()) {
        found->second.nested += duration;
    }
}

// The address of the caller tells nothing: clients of a VM have the same one as its endpoint. The run is not known here if this process
// is younger than the run; its calls then have the rank of their own route.
ChainContext ChainTable::contextOf(std::string_view parentId, std::string_view requestId, int priority) const
{
    const auto found = parentId.empty() ? this->running.end() : this->running.find(std::string(parentId));
    if (found == this->running.end()) {
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
