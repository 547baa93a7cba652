#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace Route {

/// SHA-256 of a caller's key. Keys themselves are neither kept in memory after decoding nor logged.
using KeyDigest = std::array<std::uint8_t, 32>;

KeyDigest digestOfKey(std::string_view key);

/// The first bytes of a cryptographic digest are as good a hash as any.
struct KeyDigestHash
{
    std::size_t operator()(const KeyDigest &digest) const
    {
        std::size_t hash = 0;
        std::memcpy(&hash, digest.data(), sizeof(hash));
        return hash;
    }
};

} // namespace Route
