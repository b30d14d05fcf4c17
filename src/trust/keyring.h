#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::trust
{
/// Shared keys by which nodes prove themselves to each other; HMAC-SHA-256, shortened to 128 bits.
///
/// Keys are rotated by adding the new one everywhere, then making it active, then removing the old one.
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
    static constexpr std::size_t shortestSecret = 16; ///< bytes

    /// Adds a key; the last one added signs, all verify.
    void add(std::string id, std::string secret);

    [[nodiscard]] bool isEmpty() const noexcept;

    /// Signs a text.
    /// @returns `key-id:hexadecimal tag`, or an empty string without keys
    [[nodiscard]] std::string sign(std::string_view text) const;

    /// Checks a signature in constant time.
    [[nodiscard]] bool isValid(std::string_view text, std::string_view signature) const;

private:
    std::map<std::string, std::string, std::less<>> keys;
    std::string active;
};
} // namespace figpulley::trust
