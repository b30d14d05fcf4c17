#include "discovery/departurelist.h"

#include <algorithm>
#include <utility>

namespace figpulley::discovery
{
void DepartureList::add(Departure departure)
{
    const auto isSame = [&](const Departure &kept) { return kept.id == departure.id && kept.startedMs == departure.startedMs; };
    if (const auto found = std::find_if(this->list.begin(), this->list.end(), isSame); found != this->list.end()) {
        departure.includesEarlier = departure.includesEarlier || found->includesEarlier;
        this->list.erase(found);
    }
    if (this->list.size() == capacity) {
        this->list.erase(this->list.begin());
    }
    this->list.push_back(std::move(departure));
}

void DepartureList::merge(const DepartureList &older)
{
    for (const auto &departure : older.list) {
        const bool isKnown = this->contains(departure.id, departure.startedMs) && !departure.includesEarlier;
        if (!isKnown && this->list.size() < capacity) {
            this->list.insert(this->list.begin(), departure);
        }
    }
}

bool DepartureList::contains(std::string_view id, std::int64_t startedMs) const noexcept
{
    return std::any_of(this->list.begin(), this->list.end(), [&](const Departure &kept) {
        return kept.id == id && (kept.includesEarlier ? startedMs <= kept.startedMs : startedMs == kept.startedMs);
    });
}

bool DepartureList::containsId(std::string_view id) const noexcept
{
    return std::any_of(this->list.begin(), this->list.end(), [&](const Departure &kept) { return kept.id == id; });
}

bool DepartureList::containsLater(std::string_view id, std::int64_t startedMs) const noexcept
{
    return std::any_of(this->list.begin(), this->list.end(),
                       [&](const Departure &kept) { return kept.id == id && startedMs < kept.startedMs; });
}

const std::vector<Departure> &DepartureList::departures() const noexcept
{
    return this->list;
}
} // namespace figpulley::discovery
