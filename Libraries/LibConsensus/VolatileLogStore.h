#pragma once

#include "LibConsensus/ImageLogStore.h"

namespace Consensus {

/// LogStore of a node without a disk: everything is in memory and gone with the process, which comes back
/// under a new incarnation. Such a node may only be a learner, because it forgets its votes.
class VolatileLogStore final : public ImageLogStore
{
public:
    VolatileLogStore();

    Base::Result<void> setHardState(const HardState &state) override;
    Base::Result<void> saveSnapshot(const Wire::RaftSnapshot &snapshot) override
    {
        return image_.installSnapshot(snapshot);
    }
    Base::Result<void> append(std::span<const Wire::RaftEntry> entries) override
    {
        return image_.append(entries);
    }
    Base::Result<void> truncateFrom(std::uint64_t index) override { return image_.truncateFrom(index); }
    Base::Result<void> sync() override { return {}; }
};

} // namespace Consensus
