#include "routing/attemptplan.h"

namespace figpulley::routing
{
namespace
{
// Number of attempts that reached no endpoint, after which the client gets a refusal with a retry time.
constexpr int maxRefusalsByNodes = 4;
// An endpoint may refuse more than half of all requests at random, and a chain fails if any one of its calls fails. At 55% refusals, ten
// attempts lower the failure rate of a call to one in four hundred; the retry budget bounds the load that these attempts add.
constexpr int maxRefusalsByEndpoints = 10;
} // namespace

AttemptPlan::AttemptPlan(bool isIdempotent, int maxRuns) noexcept
    : isIdempotent(isIdempotent)
    , maxRuns(maxRuns)
{
}

AttemptPlan::Next AttemptPlan::recordNodeRefusal() noexcept
{
    ++this->refusalsByNodes;
    const bool isAllowed = this->runs == 0 || (this->isIdempotent && this->runs < this->maxRuns);
    return isAllowed && this->refusalsByNodes < maxRefusalsByNodes ? Next::WithoutBudget : Next::GiveUp;
}

AttemptPlan::Next AttemptPlan::recordEndpointRefusal() noexcept
{
    ++this->refusalsByEndpoints;
    const bool isAllowed = this->runs == 0 || (this->isIdempotent && this->runs < this->maxRuns);
    return isAllowed && this->refusalsByEndpoints < maxRefusalsByEndpoints ? Next::FromBudget : Next::GiveUp;
}

AttemptPlan::Next AttemptPlan::recordPossibleRun() noexcept
{
    ++this->runs;
    return this->isIdempotent && this->runs < this->maxRuns ? Next::FromBudget : Next::GiveUp;
}

bool AttemptPlan::mayHaveRun() const noexcept
{
    return this->runs > 0;
}
} // namespace figpulley::routing
