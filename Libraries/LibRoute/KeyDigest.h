#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Route {

/// SHA-256 of a caller's key. Keys themselves are neither kept in memory after decoding nor logged.
using KeyDigest = std::array<std::uint8_t, 32>;

KeyDigest digestOfKey(std::string_view key);

} // namespace Route
