#pragma once

#include <cstddef>

namespace Services {

/// Part of a process's memory that callers may hold with their requests, and the responses for them. The rest
/// is for the process itself, for what the allocator cannot return, and for bytes that the kernel holds.
constexpr std::size_t requestMemory(std::size_t megabytes)
{
    return megabytes * 1024 * 1024 / 4;
}

/// Makes the allocator return what requests held as soon as they are over. Call it before threads start; only
/// a process with a limit on its memory pays for it.
void returnFreedMemory();

} // namespace Services
