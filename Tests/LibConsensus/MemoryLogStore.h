#pragma once

#include "LibConsensus/ImageLogStore.h"

#include <algorithm>
#include <functional>
#include <vector>

/// Fake store whose changes are lost by a crash unless they were synced.
class MemoryLogStore final : public Consensus::ImageLogStore
{
public:
    explicit MemoryLogStore(std::uint64_t incarnation)
        : ImageLogStore(incarnation)
    {
    }

    /// Loses the unsynced changes but for the first `kept` ones, which had reached the disk by chance.
    void crash(std::size_t kept = 0)
    {
        for (std::size_t change = 0; change < std::min(kept, unsynced_.size()); ++change)
            unsynced_[change](durable_);
        unsynced_.clear();
        image_ = durable_;
        ++logChanges_;
    }
    std::size_t unsyncedChanges() const { return unsynced_.size(); }
    /// Grows with every change of the log, so that checks can skip an unchanged one.
    std::uint64_t logChanges() const { return logChanges_; }

    Base::Result<void> setHardState(const Consensus::HardState &state) override
    {
        return change([state](Consensus::LogImage &image) -> Base::Result<void> {
            image.setHardState(state);
            return {};
        });
    }
    Base::Result<void> saveSnapshot(const Wire::RaftSnapshot &snapshot) override
    {
        ++logChanges_;
        return change([snapshot](Consensus::LogImage &image) { return image.installSnapshot(snapshot); });
    }
    Base::Result<void> append(std::span<const Wire::RaftEntry> entries) override
    {
        ++logChanges_;
        return change([copy = std::vector(entries.begin(), entries.end())](Consensus::LogImage &image) {
            return image.append(copy);
        });
    }
    Base::Result<void> truncateFrom(std::uint64_t index) override
    {
        ++logChanges_;
        return change([index](Consensus::LogImage &image) { return image.truncateFrom(index); });
    }
    Base::Result<void> sync() override
    {
        durable_ = image_;
        unsynced_.clear();
        return {};
    }

private:
    using Change = std::function<Base::Result<void>(Consensus::LogImage &)>;

    Base::Result<void> change(Change step)
    {
        auto result = step(image_);
        unsynced_.push_back(std::move(step));
        return result;
    }

    std::uint64_t logChanges_ = 1;
    Consensus::LogImage durable_;
    std::vector<Change> unsynced_; ///< Changes from `durable_` to `image_`, in order.
};
