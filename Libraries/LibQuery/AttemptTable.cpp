#include "LibQuery/AttemptTable.h"

#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace Query {

AttemptTable::AttemptTable(std::string_view entryId, std::uint64_t incarnation)
    : prefix_(fmt::format("{}.{:x}.", entryId, incarnation))
{
}

AttemptKey AttemptTable::add(AttemptRow row)
{
    const auto key = ++lastKey_;
    rows_.emplace(key, std::move(row));
    return key;
}

AttemptRow *AttemptTable::find(AttemptKey key)
{
    const auto entry = rows_.find(key);
    return entry == rows_.end() ? nullptr : &entry->second;
}

std::string AttemptTable::formatId(AttemptKey key) const
{
    return prefix_ + std::to_string(key);
}

std::optional<AttemptKey> AttemptTable::parseId(std::string_view attemptId) const
{
    if (!attemptId.starts_with(prefix_))
        return std::nullopt;
    const auto digits = attemptId.substr(prefix_.size());
    const auto *end = digits.data() + digits.size();
    AttemptKey key = 0;
    const auto result = std::from_chars(digits.data(), end, key);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return key;
}

} // namespace Query
