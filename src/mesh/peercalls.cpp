#include "mesh/peercalls.h"

#include "mesh/changerelay.h"
#include "mesh/departurenotices.h"
#include "mesh/neighbourcontacts.h"
#include "mesh/snapshotexchange.h"

namespace figpulley::mesh
{
PeerCalls::PeerCalls(SnapshotExchange &snapshots, ChangeRelay &changes, NeighbourContacts &contacts, DirectoryUpdater &directory)
    : snapshots(snapshots)
    , changes(changes)
    , contacts(contacts)
    , directory(directory)
{
}

bool PeerCalls::accept(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto &headers = exchange->request().headers;
    if (const auto selection = net::findHeader(headers, SnapshotExchange::header); !selection.empty()) {
        this->snapshots.accept(selection, *exchange);
        return true;
    }
    if (!net::findHeader(headers, ChangeRelay::header).empty()) {
        this->changes.accept(exchange);
        return true;
    }
    if (!net::findHeader(headers, NeighbourContacts::header).empty()) {
        this->contacts.accept(exchange);
        return true;
    }
    if (!net::findHeader(headers, DepartureNotices::header).empty()) {
        DepartureNotices::accept(this->directory, this->contacts, *exchange);
        return true;
    }
    return false;
}
} // namespace figpulley::mesh
