#include "node/contactlist.h"

#include "core/json.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace figpulley::node
{
using nlohmann::json;

std::string contactKey(std::string_view zone)
{
    return contactPrefix + std::string(zone);
}

std::string encodeContacts(const std::vector<std::string> &addresses)
{
    return json(addresses).dump();
}

std::vector<std::string> decodeContacts(std::string_view text)
{
    const auto document = core::parseJson(text);
    std::vector<std::string> addresses;
    if (!document.is_array()) {
        return addresses;
    }
    for (const auto &item : document) {
        if (item.is_string() && addresses.size() < contactsPerZone) {
            addresses.push_back(item.get<std::string>());
        }
    }
    return addresses;
}

std::optional<std::vector<std::string>> contactsToPublish(const board::Blackboard &board, const std::vector<std::string> &published)
{
    const auto &state = board.membership.read();
    std::vector<std::string> live {state.self.controlAddress};
    for (const auto &[id, member] : state.members) {
        const auto &announcement = member.announcement;
        if (announcement.availabilityZone == state.self.availabilityZone && announcement.status == members::MemberStatus::Alive
            && !announcement.isLeaving) {
            live.push_back(announcement.controlAddress);
        }
    }
    std::sort(live.begin(), live.end());
    std::vector<std::string> kept;
    std::copy_if(published.begin(), published.end(), std::back_inserter(kept),
                 [&](const std::string &address) { return std::binary_search(live.begin(), live.end(), address); });
    const auto wanted = std::min(contactsPerZone, live.size());
    // A new list is written only when fewer than three quarters of the contact points are live, so that a rolling replacement
    // of nodes costs few writes.
    if (kept.size() * 4 >= wanted * 3) {
        return std::nullopt;
    }
    for (const auto &address : live) {
        if (kept.size() < wanted && std::find(kept.begin(), kept.end(), address) == kept.end()) {
            kept.push_back(address);
        }
    }
    return kept;
}
} // namespace figpulley::node
