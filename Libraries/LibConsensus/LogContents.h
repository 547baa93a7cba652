#pragma once

#include "LibBase/Error.h"
#include "LibConsensus/LogStore.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace Consensus {

/// Content of a log store in memory. The log stays small because the state machine is compacted into
/// snapshots.
class LogContents
{
public:
    const HardState &hardState() const { return hardState_; }
    void setHardState(HardState state) { hardState_ = std::move(state); }
    const std::optional<Wire::RaftSnapshot> &snapshot() const { return snapshot_; }
    const std::deque<Wire::RaftEntry> &log() const { return entries_; }

    std::uint64_t firstIndex() const { return baseIndex_ + 1; }
    std::uint64_t lastIndex() const { return baseIndex_ + entries_.size(); }
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    std::vector<Wire::RaftEntry> entries(std::uint64_t from, std::uint64_t to, std::size_t maxBytes) const;

    /// Sets the index before the first entry; only for an empty object that is filled from a file.
    void setBase(std::uint64_t index) { baseIndex_ = index; }
    /// Fails with Internal when an entry does not follow the last one.
    Base::Result<void> append(std::span<const Wire::RaftEntry> entries);
    /// Fails with Internal when `index` is already part of a snapshot.
    Base::Result<void> truncateFrom(std::uint64_t index);
    /// Follows the rule of LogStore::saveSnapshot(); fails with CorruptData when entries after it are
    /// missing.
    Base::Result<void> installSnapshot(Wire::RaftSnapshot snapshot);

private:
    HardState hardState_;
    std::optional<Wire::RaftSnapshot> snapshot_;
    std::uint64_t baseIndex_ = 0;
    std::uint64_t baseTerm_ = 0;
    std::deque<Wire::RaftEntry> entries_;
};

} // namespace Consensus
