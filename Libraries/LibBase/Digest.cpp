#include "LibBase/Digest.h"

#include <array>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace Base {

namespace {

std::string toHex(ByteView data)
{
    std::string text;
    text.reserve(data.size() * 2);
    for (const auto byte : data)
        fmt::format_to(std::back_inserter(text), "{:02x}", byte);
    return text;
}

} // namespace

std::string sha256Hex(ByteView data)
{
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return toHex({digest.data(), length});
}

std::string hmacSha256Hex(ByteView key, ByteView data)
{
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data.data(), data.size(), digest.data(),
         &length);
    return toHex({digest.data(), length});
}

bool constantTimeEquals(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace Base
