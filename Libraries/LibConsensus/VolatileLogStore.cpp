#include "LibConsensus/VolatileLogStore.h"

#include "LibBase/Incarnation.h"

namespace Consensus {

VolatileLogStore::VolatileLogStore()
    : CachedLogStore(Base::makeIncarnation())
{
}

Base::Result<void> VolatileLogStore::setHardState(const HardState &state)
{
    contents_.setHardState(state);
    return {};
}

} // namespace Consensus
