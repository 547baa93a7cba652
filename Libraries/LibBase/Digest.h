#pragma once

#include "LibBase/Bytes.h"

#include <string>

namespace Base {

/// SHA-256 of `data` as 64 lowercase hexadecimal digits.
std::string sha256Hex(ByteView data);

/// HMAC-SHA-256 of `data` under `key` as 64 lowercase hexadecimal digits.
std::string hmacSha256Hex(ByteView key, ByteView data);

/// Compares two secrets in time that depends only on their lengths.
bool constantTimeEquals(std::string_view left, std::string_view right);

} // namespace Base
