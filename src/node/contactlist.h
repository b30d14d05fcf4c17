#pragma once

#include "board/blackboard.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::node
{
/// Prefix of the platform's objects that hold each zone's contact points.
inline constexpr const char *contactPrefix = "figpulley/contacts/";

/// Contact points that a zone keeps in the platform.
inline constexpr std::size_t contactsPerZone = 8;

/// Key of a zone's contact points.
[[nodiscard]] std::string contactKey(std::string_view zone);

[[nodiscard]] std::string encodeContacts(const std::vector<std::string> &addresses);

/// @returns the addresses; none if the text is malformed
[[nodiscard]] std::vector<std::string> decodeContacts(std::string_view text);

/// Decides whether a zone's contact points have to be written anew.
/// @param present those in the platform
/// @returns the new list, or nothing while most of the present ones are live
[[nodiscard]] std::optional<std::vector<std::string>> contactsToPublish(const board::Blackboard &board,
                                                                        const std::vector<std::string> &present);
} // namespace figpulley::node
