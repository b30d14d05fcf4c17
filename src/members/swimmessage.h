#pragma once

#include "members/member.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::members
{
/// Kinds of datagrams between nodes.
enum class SwimKind : std::uint8_t {
    Ping, ///< asks for an Ack
    Ack, ///< answers a Ping
    PingRequest, ///< asks a third node to ping `subject`
    Gossip, ///< carries announcements only
    PullRequest, ///< asks for the members of `zone` that follow `cursor`
    PullAnswer, ///< one page of members
};

/// Fingerprint of one zone's members, to find differences without sending them.
struct ZoneDigest
{
    std::string zone;
    std::uint64_t hash = 0; ///< of all live announcements of the zone
    std::uint32_t count = 0;
};

/// One datagram between nodes.
struct SwimMessage
{
    SwimKind kind = SwimKind::Gossip;
    std::uint32_t sequence = 0; ///< of the ping that is asked or answered
    std::string subject; ///< control address that a PingRequest is about, or that the relayed Ack goes back to
    std::uint64_t configRevision = 0; ///< revision in force at the sender
    std::string sender; ///< control address of the sender
    std::string senderZone;
    std::string zone; ///< of a pull; empty for all zones
    std::uint64_t cursor = 0; ///< of a pull
    bool isLastPage = false; ///< of a pull
    std::vector<Announcement> announcements;
    std::vector<ZoneDigest> digests;
};

/// Largest encoded message, in bytes, before its authentication tag.
inline constexpr std::size_t largestMessage = 1340;

/// Bytes of a message besides its announcements, at most.
inline constexpr std::size_t messageOverhead = 160;

/// Encodes a message in MessagePack.
[[nodiscard]] std::string encode(const SwimMessage &message);

/// Encoded size of one announcement, in bytes, for filling messages.
[[nodiscard]] std::size_t encodedSize(const Announcement &announcement) noexcept;

/// Decodes a message from an untrusted peer.
/// @returns nothing if it is malformed
[[nodiscard]] std::optional<SwimMessage> decodeSwimMessage(std::string_view bytes);
} // namespace figpulley::members
