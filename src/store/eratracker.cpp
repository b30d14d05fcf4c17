#include "store/eratracker.h"

#include <utility>

namespace figpulley::store
{
void EraTracker::addListener(Listener listener)
{
    this->listeners.push_back(std::move(listener));
}

bool EraTracker::deliver(std::uint64_t era, const std::function<void()> &response)
{
    if (era != 0 && era < this->latest) {
        return false;
    }
    const auto earlier = this->latest;
    this->latest = era != 0 ? era : earlier;
    const auto current = this->latest;
    response();
    if (current != earlier) {
        for (const auto &listener : this->listeners) {
            listener(earlier, current);
        }
    }
    return true;
}

std::uint64_t EraTracker::current() const noexcept
{
    return this->latest;
}
} // namespace figpulley::store
