#pragma once

#include <cstddef>
#include <string_view>

namespace Base {

/// Nesting that any message of this system or the platform may have. A parsed level takes about 80 bytes, so
/// without a limit a few megabytes of brackets would exceed the memory of a small VM.
constexpr int MaxJsonDepth = 64;

/// Whether objects and lists of `text` are nested more than `levels` deep, up to the first byte that is no
/// valid JSON: a parser stops there.
bool isNestedDeeperThan(std::string_view text, int levels);

/// Values that a text may hold which is parsed as a whole. A parsed value takes up to about 100 bytes, and
/// its text as few as two.
constexpr std::size_t MaxJsonValues = 65'536;

/// Whether `text` holds more than `count` values. Keys of objects do not count.
bool holdsMoreValuesThan(std::string_view text, std::size_t count);

/// Whether a parser may build `text` in memory.
bool isWithinJsonLimits(std::string_view text);

} // namespace Base
