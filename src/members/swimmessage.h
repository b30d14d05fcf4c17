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
    Ping, ///< requests an Ack
    Ack, ///< confirms a Ping
    PingRequest, ///< requests that the receiver pings `subject` for the sender
    Gossip, ///< carries announcements or digests; requires no response
    PullRequest, ///< requests the members of `zone` whose ids follow `cursor`
    PullResponse, ///< responds to a PullRequest with one page of members
};

/// Digest of the members of a zone, by which two nodes find differences without sending the members.
struct ZoneDigest
{
    std::string zone;
    std::uint64_t hash = 0; ///< hash of all live announcements of the zone
    std::uint32_t count = 0;
};

/// One datagram between nodes.
struct SwimMessage
{
    SwimKind kind = SwimKind::Gossip;
    /// Number of the ping that is requested or acknowledged. In a pull response, 1 marks the last message of a batch.
    std::uint32_t sequence = 0;
    std::string subject; ///< control address of the node that a PingRequest is about
    std::uint64_t configRevision = 0; ///< configuration revision in force at the sender
    std::string sender; ///< control address of the sender
    std::string senderZone;
    std::string zone; ///< zone of a pull; empty for all zones
    std::uint64_t cursor = 0; ///< id of the last member that the pull has sent
    bool isLastPage = false; ///< whether no page of the pull follows
    std::vector<Announcement> announcements;
    std::vector<ZoneDigest> digests;
};

/// Maximum size of an encoded message without its signature, in bytes.
inline constexpr std::size_t maxMessageBytes = 1340;

/// Maximum size of an encoded message without its announcements, in bytes.
inline constexpr std::size_t messageOverheadBytes = 160;

/// Encodes a message in MessagePack.
[[nodiscard]] std::string encode(const SwimMessage &message);

/// Returns an upper estimate of the encoded size of an announcement, in bytes.
[[nodiscard]] std::size_t encodedSize(const Announcement &announcement) noexcept;

/// Decodes a message from an untrusted peer.
/// @returns the message, or nothing if it is malformed
[[nodiscard]] std::optional<SwimMessage> decodeSwimMessage(std::string_view bytes);
} // namespace figpulley::members
