#pragma once

#include "discovery/endpointrecord.h"
#include "mesh/meshcontext.h"
#include "net/httpexchange.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace figpulley::mesh
{
/// Tells the successors of this node which departures it has heard of, so that the next process of this node can learn them from these even
/// if the store was not told.
class DepartureNotices
{
public:
    /// What the successors have answered so far.
    struct Progress
    {
        std::size_t confirmed = 0; ///< successors that know the departures of the record
        std::size_t pending = 0; ///< successors that have neither answered nor failed
    };

    explicit DepartureNotices(MeshContext context);

    /// Tells the successors the record of the endpoint on this VM.
    /// @param onProgress called for each answer and each failure; never from inside this function
    /// @returns the progress before the first answer
    Progress tell(const discovery::EndpointRecord &record, const std::function<void(Progress)> &onProgress);

    /// Takes over the record that another node tells, and answers whether this node knows its departures now.
    /// @param contacts keeps a contact to the node, so that its next process can learn of them
    static void accept(DirectoryUpdater &directory, NeighbourContacts &contacts, net::HttpExchange &exchange);

    /// Header that marks a request whose body is such a record. Nodes of versions without it refuse the request.
    static constexpr const char *header = "Figpulley-Departure";

private:
    MeshContext context;
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true); // expires with this object; a request may end later
};
} // namespace figpulley::mesh
