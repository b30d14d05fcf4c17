#include "discovery/departure.h"

#include "net/address.h"
#include "text/fieldlist.h"

#include <utility>

namespace figpulley::discovery
{
namespace
{
constexpr std::size_t fieldCount = 5;
} // namespace

std::string encode(const Departure &departure)
{
    text::FieldWriter fields;
    fields.add(departure.node);
    fields.add(departure.id);
    fields.add(departure.service);
    fields.add(departure.incarnation);
    fields.add(name(departure.state));
    return fields.take();
}

std::optional<Departure> decodeDeparture(std::string_view text)
{
    const auto fields = text::splitFields<fieldCount>(text);
    if (!fields) {
        return std::nullopt;
    }
    Departure departure;
    departure.node = text::unescape((*fields)[0]);
    departure.id = text::unescape((*fields)[1]);
    departure.service = text::unescape((*fields)[2]);
    const auto address = net::parseAddress(departure.node);
    const auto state = endpointStateFromName((*fields)[4]);
    const bool isReadable =
        address && address->port != 0 && state && isFinal(*state) && text::readNumber((*fields)[3], departure.incarnation);
    if (!isReadable || departure.id.empty() || departure.service.empty() || departure.incarnation < 0
        || departure.incarnation > maxIncarnation) {
        return std::nullopt;
    }
    departure.state = *state;
    return departure;
}
} // namespace figpulley::discovery
