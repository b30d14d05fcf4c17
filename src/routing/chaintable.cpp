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

std::optional<ChainContext> ChainTable::find(std::string_view requestId) const
{
    const auto found = this->running.find(std::string(requestId));
    return found == this->running.end() ? std::nullopt : std::optional(found->second.context);
}

core::Rank rootRank(int priority, std::string_view requestId) noexcept
{
    const auto highest = static_cast<int>(core::Rank::maximumLevels) - 1;
    return core::Rank::of(static_cast<std::uint32_t>(highest - std::clamp(priority, 0, highest)), requestId);
}
} // namespace figpulley::routing
