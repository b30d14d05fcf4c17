#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace figpulley::members
{
/// What the others claim about a member; a larger claim wins at the same incarnation and version.
enum class Claim : std::uint8_t {
    Alive,
    Suspect,
    Dead,
};

/// Name of a claim for status and logs.
[[nodiscard]] std::string_view name(Claim claim) noexcept;

/// What a node announces of itself, and what the others claim about it.
struct Announcement
{
    core::NodeId node {};
    std::string controlAddress; ///< ip:port for datagrams
    std::string ingressAddress; ///< ip:port for calls
    std::string service;
    std::string availabilityZone;
    core::Incarnation incarnation {};
    std::uint32_t version = 0; ///< raised by the node itself whenever it changes or refutes a claim
    bool isLeaving = false;
    Claim claim = Claim::Alive;

    [[nodiscard]] bool operator==(const Announcement &) const = default;
};

/// Whether the left announcement is newer than the right one about the same node.
[[nodiscard]] bool isNewer(const Announcement &left, const Announcement &right) noexcept;

/// One member as a node remembers it.
struct Member
{
    Announcement announcement;
    core::TimePoint firstAlive {}; ///< when this incarnation was first seen alive
    core::TimePoint claimSince {}; ///< when the present claim began here
};

/// Whether nobody claims that a member is dead.
[[nodiscard]] inline bool isLive(const Member &member) noexcept
{
    return member.announcement.claim != Claim::Dead;
}

/// The id of a node: a hash of its control address, so that a replaced VM at the same address keeps it.
[[nodiscard]] core::NodeId nodeIdOf(std::string_view controlAddress) noexcept;
} // namespace figpulley::members
