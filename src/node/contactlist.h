#pragma once

#include "board/blackboard.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::node
{
/// Prefix of the platform objects that hold the contact points of each zone.
inline constexpr const char *contactPrefix = "figpulley/contacts/";

/// Maximum number of contact points that a zone publishes in the platform.
inline constexpr std::size_t contactsPerZone = 8;

/// Key of the platform object that holds a zone's contact points.
[[nodiscard]] std::string contactKey(std::string_view zone);

[[nodiscard]] std::string encodeContacts(const std::vector<std::string> &addresses);

/// @returns the addresses; an empty list if the text is malformed
[[nodiscard]] std::vector<std::string> decodeContacts(std::string_view text);

/// Decides whether the contact points of the node's zone must be replaced.
/// @param published the addresses published in the platform
/// @returns the new list, or nothing while at least three quarters of the contact points are live
[[nodiscard]] std::optional<std::vector<std::string>> contactsToPublish(const board::Blackboard &board,
                                                                        const std::vector<std::string> &published);
} // namespace figpulley::node
