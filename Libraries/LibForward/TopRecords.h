#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Forward {

/// Size of one record in a part.
constexpr std::size_t RecordBytes = 16;

/// Returns the greatest `limit` records of all parts in descending byte order. Duplicates are kept; trailing
/// bytes shorter than one record are ignored.
std::string mergeTopRecords(std::span<const std::string_view> parts, std::size_t limit);

} // namespace Forward
