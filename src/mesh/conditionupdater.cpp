#include "mesh/conditionupdater.h"

namespace figpulley::mesh
{
ConditionUpdater::ConditionUpdater(MeshBoard &board)
    : board(board)
{
}

bool ConditionUpdater::followRecord()
{
    const auto &record = this->board.local.read().record();
    if (!record || this->isCurrent(record->id, record->incarnation)) {
        return false;
    }
    const bool hadLimit = this->rateLimit().has_value();
    this->board.condition.write() = {record->id, record->incarnation, {}};
    return hadLimit;
}

bool ConditionUpdater::applyResponse(const UpstreamReply &reply, core::TimePoint sentAt, core::TimePoint now)
{
    return !reply.isRateLimitInvalid && this->board.condition.write().limit.applyResponse(reply.rateLimit, sentAt, now);
}

bool ConditionUpdater::applyHint(const routing::EndpointCondition &hint)
{
    const bool isUsable = hint.rateLimit && this->isCurrent(hint.endpointId, hint.incarnation);
    return isUsable && this->board.condition.write().limit.applyHint(*hint.rateLimit);
}

bool ConditionUpdater::isCurrent(std::string_view endpointId, std::int64_t incarnation) const
{
    const auto &condition = this->board.condition.read();
    return condition.endpointId == endpointId && condition.incarnation == incarnation;
}

std::optional<double> ConditionUpdater::rateLimit() const
{
    return this->board.condition.read().limit.value();
}
} // namespace figpulley::mesh
