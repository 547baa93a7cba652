#pragma once

#include <cstdint>

namespace Base {

/// Returns a random number that tells one run of a process, or one life of a data directory, from all others;
/// never 0, which stands for "no incarnation".
std::uint64_t makeIncarnation();

} // namespace Base
