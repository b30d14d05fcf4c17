#include "trust/keyring.h"

#include <array>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace figpulley::trust
{
namespace
{
constexpr std::size_t tagBytes = 16;

std::string computeTag(std::string_view secret, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), reinterpret_cast<const unsigned char *>(text.data()), text.size(),
         digest.data(), &size);
    std::string tag;
    tag.reserve(2 * tagBytes);
    for (std::size_t index = 0; index < tagBytes; ++index) {
        tag += fmt::format("{:02x}", digest[index]);
    }
    return tag;
}
} // namespace

void KeyRing::add(std::string id, std::string secret)
{
    this->activeId = id;
    this->keys.insert_or_assign(std::move(id), std::move(secret));
}

bool KeyRing::isEmpty() const noexcept
{
    return this->keys.empty();
}

std::string KeyRing::sign(std::string_view text) const
{
    if (this->keys.empty()) {
        return {};
    }
    return this->activeId + ":" + computeTag(this->keys.at(this->activeId), text);
}

bool KeyRing::isValid(std::string_view text, std::string_view signature) const
{
    const auto colon = signature.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto key = this->keys.find(signature.substr(0, colon));
    if (key == this->keys.end()) {
        return false;
    }
    const auto expected = computeTag(key->second, text);
    const auto received = signature.substr(colon + 1);
    return received.size() == expected.size() && CRYPTO_memcmp(received.data(), expected.data(), expected.size()) == 0;
}
} // namespace figpulley::trust
