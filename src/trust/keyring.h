#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::trust
{
/// Shared keys with which nodes authenticate messages to each other. Signatures are HMAC-SHA-256 tags truncated to 128 bits.
///
/// To rotate keys, first add the new key on all nodes, then make it the active key, then remove the old one.
///
/// Example:
/// ```
/// KeyRing ring;
/// ring.add("2026-12", secret);
/// assert(ring.isValid(text, ring.sign(text)));
/// ```
class KeyRing
{
public:
    static constexpr std::size_t minSecretBytes = 16; ///< minimum length of a secret, in bytes

    /// Adds a key. The key added last signs; all keys verify.
    void add(std::string id, std::string secret);

    [[nodiscard]] bool isEmpty() const noexcept;

    /// Signs a text with the active key.
    /// @returns `key-id:hexadecimal tag`, or an empty string if there are no keys
    [[nodiscard]] std::string sign(std::string_view text) const;

    /// Returns whether a signature is valid for a text; compares the tags in constant time.
    [[nodiscard]] bool isValid(std::string_view text, std::string_view signature) const;

private:
    std::map<std::string, std::string, std::less<>> keys;
    std::string activeId;
};
} // namespace figpulley::trust
