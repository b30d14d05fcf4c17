#include "routing/chaintable.h"

#include <algorithm>

namespace figpulley::routing
{
void ChainTable::begin(const std::string &requestId, const ChainContext &context)
{
    this->running.insert_or_assign(requestId, context);
}

void ChainTable::end(const std::string &requestId)
{
    this->running.erase(requestId);
}

std::optional<ChainContext> ChainTable::find(std::string_view requestId) const
{
    const auto found = this->running.find(std::string(requestId));
    return found == this->running.end() ? std::nullopt : std::optional(found->second);
}

core::Rank rootRank(int priority, std::string_view requestId) noexcept
{
    const auto highest = static_cast<int>(core::Rank::maximumLevels) - 1;
    return core::Rank::of(static_cast<std::uint32_t>(highest - std::clamp(priority, 0, highest)), requestId);
}
} // namespace figpulley::routing
