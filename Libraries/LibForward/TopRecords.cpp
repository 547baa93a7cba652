#include "LibForward/TopRecords.h"

#include <algorithm>
#include <cstring>
#include <functional>
#include <vector>

namespace Forward {

std::string mergeTopRecords(std::span<const std::string_view> parts, std::size_t limit)
{
    std::vector<std::string_view> records;
    for (const auto part : parts) {
        for (std::size_t at = 0; at + RecordBytes <= part.size(); at += RecordBytes)
            records.push_back(part.substr(at, RecordBytes));
    }
    const auto count = std::min(limit, records.size());
    // std::char_traits<char> compares as unsigned bytes.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), records.end(),
                      std::greater<>());
    std::string merged;
    merged.reserve(count * RecordBytes);
    for (std::size_t index = 0; index < count; ++index)
        merged += records[index];
    return merged;
}

} // namespace Forward
