#pragma once

#include <string_view>

namespace Base {

/// Nesting that any message of this system or the platform may have. A parsed level takes about 80 bytes, so
/// without a limit a few megabytes of brackets would exceed the memory of a small VM.
constexpr int MaxJsonDepth = 64;

/// Whether objects and lists of `text` are nested more than `levels` deep, up to the first byte that is no
/// valid JSON: a parser stops there.
bool isNestedDeeperThan(std::string_view text, int levels);

} // namespace Base
