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
    void crash() { image_ = durable_; }

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
        return image_.append(entries);
    }
    Base::Result<void> truncateFrom(std::uint64_t index) override { return image_.truncateFrom(index); }
    Base::Result<void> sync() override
    {
        durable_ = image_;
        return {};
    }

private:
    std::uint64_t incarnation_;
    Consensus::LogImage image_;
    Consensus::LogImage durable_;
};
