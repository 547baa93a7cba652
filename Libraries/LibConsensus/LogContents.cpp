#include "LibConsensus/LogContents.h"

#include <algorithm>
#include <utility>

namespace Consensus {

std::optional<std::uint64_t> LogContents::termAt(std::uint64_t index) const
{
    if (index == baseIndex_)
        return baseTerm_;
    if (index < baseIndex_ || index > lastIndex())
        return std::nullopt;
    return entries_[index - baseIndex_ - 1].term;
}

std::vector<Wire::RaftEntry> LogContents::entries(std::uint64_t from, std::uint64_t to,
                                                  std::size_t maxBytes) const
{
    std::vector<Wire::RaftEntry> copies;
    std::size_t bytes = 0;
    from = std::max(from, firstIndex());
    to = std::min(to, lastIndex());
    for (auto index = from; index <= to; ++index) {
        const auto &entry = entries_[index - baseIndex_ - 1];
        bytes += entry.payload.size();
        if (!copies.empty() && bytes > maxBytes)
            break;
        copies.push_back(entry);
    }
    return copies;
}

Base::Result<void> LogContents::append(std::span<const Wire::RaftEntry> entries)
{
    for (const auto &entry : entries) {
        if (entry.index != lastIndex() + 1)
            return Base::fail(Base::ErrorKind::Internal, "the appended entry is not contiguous with the log");
        entries_.push_back(entry);
    }
    return {};
}

Base::Result<void> LogContents::truncateFrom(std::uint64_t index)
{
    if (index <= baseIndex_)
        return Base::fail(Base::ErrorKind::Internal, "cannot truncate entries that a snapshot covers");
    if (index <= lastIndex())
        entries_.resize(index - baseIndex_ - 1);
    return {};
}

Base::Result<void> LogContents::installSnapshot(Wire::RaftSnapshot snapshot)
{
    const auto index = snapshot.lastIndex;
    if (index < baseIndex_)
        return Base::fail(Base::ErrorKind::CorruptData,
                          "entries between the snapshot and the start of the log are missing");
    const bool keepsLaterEntries = index == baseIndex_ || termAt(index) == snapshot.lastTerm;
    const auto dropped = keepsLaterEntries ? index - baseIndex_ : entries_.size();
    entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(dropped));
    baseIndex_ = index;
    baseTerm_ = snapshot.lastTerm;
    snapshot_ = std::move(snapshot);
    return {};
}

} // namespace Consensus
