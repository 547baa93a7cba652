#pragma once

#include "LibBase/Error.h"

#include <string>
#include <string_view>

namespace Base {

/// Returns `text` in the zlib format (RFC 1950).
std::string compress(std::string_view text);

/// Undoes compress(); MalformedMessage when the bytes are damaged or give more than `maxBytes`.
Result<std::string> decompress(std::string_view bytes, std::size_t maxBytes);

} // namespace Base
