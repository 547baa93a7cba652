#pragma once

#include "LibConsensus/CachedLogStore.h"

#include <algorithm>
#include <functional>
#include <vector>

/// Fake store whose changes are lost by a crash unless they were synced.
class MemoryLogStore final : public Consensus::CachedLogStore
{
public:
    explicit MemoryLogStore(std::uint64_t incarnation)
        : CachedLogStore(incarnation)
    {
    }

    /// Loses the unsynced changes except the first `kept` ones, which reached the disk without a sync.
    void crash(std::size_t kept = 0)
    {
        for (std::size_t change = 0; change < std::min(kept, unsyncedChanges_.size()); ++change)
            unsyncedChanges_[change](durable_);
        unsyncedChanges_.clear();
        contents_ = durable_;
        ++logChanges_;
    }
    std::size_t unsyncedChanges() const { return unsyncedChanges_.size(); }
    /// Number of changes of the log, so that checks can skip a log that has not changed.
    std::uint64_t logChanges() const { return logChanges_; }

    Base::Result<void> setHardState(const Consensus::HardState &state) override
    {
        return change([state](Consensus::LogContents &contents) -> Base::Result<void> {
            contents.setHardState(state);
            return {};
        });
    }
    Base::Result<void> saveSnapshot(const Wire::RaftSnapshot &snapshot) override
    {
        ++logChanges_;
        return change(
            [snapshot](Consensus::LogContents &contents) { return contents.installSnapshot(snapshot); });
    }
    Base::Result<void> append(std::span<const Wire::RaftEntry> entries) override
    {
        ++logChanges_;
        return change([copy = std::vector(entries.begin(), entries.end())](Consensus::LogContents &contents) {
            return contents.append(copy);
        });
    }
    Base::Result<void> truncateFrom(std::uint64_t index) override
    {
        ++logChanges_;
        return change([index](Consensus::LogContents &contents) { return contents.truncateFrom(index); });
    }
    Base::Result<void> sync() override
    {
        durable_ = contents_;
        unsyncedChanges_.clear();
        return {};
    }

private:
    using Change = std::function<Base::Result<void>(Consensus::LogContents &)>;

    Base::Result<void> change(Change step)
    {
        auto result = step(contents_);
        unsyncedChanges_.push_back(std::move(step));
        return result;
    }

    std::uint64_t logChanges_ = 1;
    Consensus::LogContents durable_;
    std::vector<Change> unsyncedChanges_; ///< Changes from `durable_` to `contents_`, in order.
};
