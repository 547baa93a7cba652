#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Forward {

/// Bytes of one record in a part.
constexpr std::size_t RecordBytes = 16;

/// Returns the greatest `limit` records of all parts, greatest first, compared byte by byte. Equal records
/// all count; a remainder shorter than one record is ignored.
std::string mergeTopRecords(std::span<const std::string_view> parts, std::size_t limit);

} // namespace Forward
