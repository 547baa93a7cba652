#include "LibConsensus/VolatileLogStore.h"

#include "LibBase/Incarnation.h"

namespace Consensus {

VolatileLogStore::VolatileLogStore()
    : ImageLogStore(Base::makeIncarnation())
{
}

Base::Result<void> VolatileLogStore::setHardState(const HardState &state)
{
    image_.setHardState(state);
    return {};
}

} // namespace Consensus
