#pragma once

#include "LibConsensus/LogImage.h"
#include "LibConsensus/LogStore.h"

namespace Consensus {

/// LogStore of a node without a disk: everything is in memory and gone with the process, which comes back
/// under a new incarnation. Such a node may only be a learner, because it forgets its votes.
class VolatileLogStore final : public LogStore
{
public:
    VolatileLogStore();

    std::uint64_t incarnation() const override { return incarnation_; }
    HardState hardState() const override { return image_.hardState(); }
    Base::Result<void> setHardState(const HardState &state) override;
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
    Base::Result<void> sync() override { return {}; }

private:
    std::uint64_t incarnation_;
    LogImage image_;
};

} // namespace Consensus
