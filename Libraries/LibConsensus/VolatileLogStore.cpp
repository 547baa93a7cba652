#include "LibConsensus/VolatileLogStore.h"

#include "LibConsensus/Incarnation.h"

namespace Consensus {

VolatileLogStore::VolatileLogStore()
    : incarnation_(makeIncarnation())
{
}

Base::Result<void> VolatileLogStore::setHardState(const HardState &state)
{
    image_.setHardState(state);
    return {};
}

} // namespace Consensus
