#include "gate/statedlimit.h"

namespace figpulley::gate
{
bool StatedLimit::applyResponse(std::optional<double> stated, core::TimePoint sentAt, core::TimePoint now) noexcept
{
    const bool isRaised = this->current && (!stated || *stated > *this->current);
    // A hint has no time at which the endpoint stated it, so any response of the endpoint replaces it.
    if (isRaised && this->hasResponse && sentAt < this->lastStated) {
        return false;
    }
    const bool isChanged = stated != this->current;
    this->hasResponse = true;
    this->current = stated;
    if (stated) {
        this->lastStated = now;
    }
    return isChanged;
}

bool StatedLimit::applyHint(double hint) noexcept
{
    if (this->hasResponse || (this->current && *this->current <= hint)) {
        return false;
    }
    this->current = hint;
    return true;
}

void StatedLimit::reset() noexcept
{
    *this = {};
}

std::optional<double> StatedLimit::value() const noexcept
{
    return this->current;
}
} // namespace figpulley::gate
