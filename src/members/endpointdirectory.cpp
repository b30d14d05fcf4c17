#include "members/endpointdirectory.h"

#include <algorithm>

namespace figpulley::members
{
namespace
{
board::Endpoint toEndpoint(const Announcement &announcement, core::TimePoint firstSeen)
{
    board::Endpoint endpoint;
    endpoint.node = announcement.node;
    endpoint.incarnation = announcement.incarnation;
    endpoint.address = announcement.ingressAddress;
    endpoint.availabilityZone = announcement.availabilityZone;
    endpoint.firstSeen = firstSeen;
    endpoint.isLeaving = announcement.isLeaving;
    endpoint.isSuspect = announcement.status == MemberStatus::Suspect;
    return endpoint;
}
} // namespace

void EndpointDirectory::rebuild(board::Blackboard &board) const
{
    auto &state = board.endpoints.write();
    const auto &membership = board.membership.read();
    state.byService.clear();
    for (const auto &[id, member] : membership.members) {
        if (member.announcement.status != MemberStatus::Dead && !member.announcement.service.empty()) {
            state.byService[member.announcement.service].push_back(toEndpoint(member.announcement, member.firstAlive));
        }
    }
    if (!membership.self.service.empty()) {
        state.byService[membership.self.service].push_back(toEndpoint(membership.self, {}));
    }
    for (auto &[service, endpoints] : state.byService) {
        std::sort(endpoints.begin(), endpoints.end(),
                  [](const board::Endpoint &left, const board::Endpoint &right) { return left.node < right.node; });
    }
}
} // namespace figpulley::members
