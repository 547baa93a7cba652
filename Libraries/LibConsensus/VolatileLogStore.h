#pragma once

#include "LibConsensus/CachedLogStore.h"

namespace Consensus {

/// LogStore of a node without a disk: all state is in memory and lost when the process ends; a restarted
/// process gets a new incarnation. Such a node may only be a learner, because it loses its votes.
class VolatileLogStore final : public CachedLogStore
{
public:
    VolatileLogStore();

    Base::Result<void> setHardState(const HardState &state) override;
    Base::Result<void> saveSnapshot(const Wire::RaftSnapshot &snapshot) override
    {
        return contents_.installSnapshot(snapshot);
    }
    Base::Result<void> append(std::span<const Wire::RaftEntry> entries) override
    {
        return contents_.append(entries);
    }
    Base::Result<void> truncateFrom(std::uint64_t index) override { return contents_.truncateFrom(index); }
    Base::Result<void> sync() override { return {}; }
};

} // namespace Consensus
