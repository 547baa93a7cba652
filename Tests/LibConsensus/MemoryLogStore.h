#pragma once

#include "LibConsensus/LogImage.h"
#include "LibConsensus/LogStore.h"

/// Fake store whose changes are lost by a crash unless they were synced.
class MemoryLogStore final : public Consensus::LogStore
{
public:
    explicit MemoryLogStore(std::uint64_t incarnation)
        : incarnation_(incarnation)
    {
    }

    /// Loses all unsynced changes.
    void crash()
    {
        image_ = durable_;
        ++logChanges_;
    }
    /// Grows with every change of the log, so that checks can skip an unchanged one.
    std::uint64_t logChanges() const { return logChanges_; }

    std::uint64_t incarnation() const override { return incarnation_; }
    Consensus::HardState hardState() const override { return image_.hardState(); }
    Base::Result<void> setHardState(const Consensus::HardState &state) override
    {
        image_.setHardState(state);
        return {};
    }
    std::optional<Wire::RaftSnapshot> snapshot() const override { return image_.snapshot(); }
    Base::Result<void> saveSnapshot(const Wire::RaftSnapshot &snapshot) override
    {
        ++logChanges_;
        return image_.installSnapshot(snapshot);
    }
    std::uint64_t firstIndex() const override { return image_.firstIndex(); }
    std::uint64_t lastIndex() const override { return image_.lastIndex(); }
    std::optional<std::uint64_t> termAt(std::uint64_t index) const override { return image_.termAt(index); }
    std::vector<Wire::RaftEntry> entries(std::uint64_t from, std::uint64_t to,
                                         std::size_t maxBytes) const override
    {
        return image_.entries(from, to, maxBytes);
    }
    Base::Result<void> append(std::span<const Wire::RaftEntry> entries) override
    {
        ++logChanges_;
        return image_.append(entries);
    }
    Base::Result<void> truncateFrom(std::uint64_t index) override
    {
        ++logChanges_;
        return image_.truncateFrom(index);
    }
    Base::Result<void> sync() override
    {
        durable_ = image_;
        return {};
    }

private:
    std::uint64_t incarnation_;
    std::uint64_t logChanges_ = 1;
    Consensus::LogImage image_;
    Consensus::LogImage durable_;
};
