#include "routing/attemptplan.h"

namespace figpulley::routing
{
namespace
{
constexpr int mostRefusalsOnTheWay = 4; // nodes that are asked in vain before the client is told to come back
// Endpoints that refuse more than half of all requests do so by chance; a chain that needs several calls is lost with any of them. With
// ten tries a call fails once in four hundred at 55% refusals; the budget bounds what all requests spend.
constexpr int mostRefusalsByEndpoints = 10;
} // namespace

AttemptPlan::AttemptPlan(bool isIdempotent, int mostRuns) noexcept
    : isIdempotent(isIdempotent)
    , mostRuns(mostRuns)
{
}

AttemptPlan::Next AttemptPlan::refusedOnTheWay() noexcept
{
    ++this->refusalsOnTheWay;
    const bool isAllowed = this->runs == 0 || (this->isIdempotent && this->runs < this->mostRuns);
    return isAllowed && this->refusalsOnTheWay < mostRefusalsOnTheWay ? Next::Free : Next::GiveUp;
}

AttemptPlan::Next AttemptPlan::refusedByEndpoint() noexcept
{
    ++this->refusalsByEndpoints;
    const bool isAllowed = this->runs == 0 || (this->isIdempotent && this->runs < this->mostRuns);
    return isAllowed && this->refusalsByEndpoints < mostRefusalsByEndpoints ? Next::Paid : Next::GiveUp;
}

AttemptPlan::Next AttemptPlan::lost() noexcept
{
    ++this->runs;
    return this->isIdempotent && this->runs < this->mostRuns ? Next::Paid : Next::GiveUp;
}

bool AttemptPlan::mayHaveRun() const noexcept
{
    return this->runs > 0;
}
} // namespace figpulley::routing
