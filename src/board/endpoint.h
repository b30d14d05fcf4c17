#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace figpulley::board
{
/// One endpoint of a service, derived from the membership.
struct Endpoint
{
    core::NodeId node {};
    core::Incarnation incarnation {};
    std::string address; ///< ip:port of the ingress of the endpoint's node
    std::string availabilityZone;
    core::TimePoint firstSeen {}; ///< time at which this node first saw the incarnation alive
    bool isLeaving = false;
    bool isSuspect = false;
};

/// Endpoints by service. Writer: members::EndpointDirectory.
struct EndpointState
{
    std::map<std::string, std::vector<Endpoint>, std::less<>> byService;

    /// Endpoints of a service; empty if none is known.
    [[nodiscard]] const std::vector<Endpoint> &forService(std::string_view service) const noexcept
    {
        static const std::vector<Endpoint> none;
        const auto found = this->byService.find(service);
        return found == this->byService.end() ? none : found->second;
    }
};
} // namespace figpulley::board
