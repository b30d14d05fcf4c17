#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace figpulley::members
{
/// Status of a member as other nodes judge it. At the same incarnation and version, the larger value takes precedence.
enum class MemberStatus : std::uint8_t {
    Alive,
    Suspect,
    Dead,
};

/// Returns the name of a member status, for status reports and logs.
[[nodiscard]] std::string_view name(MemberStatus status) noexcept;

/// What a node announces about itself, and the status that other nodes assign to it.
struct Announcement
{
    core::NodeId node {};
    std::string controlAddress; ///< ip:port of the control server
    std::string ingressAddress; ///< ip:port at which calls are accepted
    std::string service;
    std::string availabilityZone;
    core::Incarnation incarnation {};
    std::uint32_t version = 0; ///< raised by the node itself when its announcement changes or when it refutes a suspicion
    bool isLeaving = false;
    MemberStatus status = MemberStatus::Alive;

    [[nodiscard]] bool operator==(const Announcement &) const = default;
};

/// Returns whether `left` supersedes `right`, an announcement of the same node.
[[nodiscard]] bool isNewer(const Announcement &left, const Announcement &right) noexcept;

/// A member as one node knows it.
struct Member
{
    Announcement announcement;
    core::TimePoint firstAlive {}; ///< when this node first saw the incarnation alive
    core::TimePoint statusSince {}; ///< when this node recorded the present status
};

/// Returns whether a member is alive or suspect.
[[nodiscard]] inline bool isLive(const Member &member) noexcept
{
    return member.announcement.status != MemberStatus::Dead;
}

/// Returns the id of a node. It is a hash of the control address, so that a replacement VM at the same address has the same id.
[[nodiscard]] core::NodeId nodeIdOf(std::string_view controlAddress) noexcept;
} // namespace figpulley::members
