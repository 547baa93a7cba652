#include "Services/Common/RequestMemory.h"

#include <malloc.h>

namespace Services {

namespace {

/// Blocks from this size are mapped each on its own.
constexpr int MappedBlockBytes = 64 * 1024;
/// Each arena keeps what its threads have freed; by default there are eight for each core.
constexpr int MaxArenas = 2;

} // namespace

void returnFreedMemory()
{
    ::mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
    ::mallopt(M_ARENA_MAX, MaxArenas);
}

} // namespace Services
