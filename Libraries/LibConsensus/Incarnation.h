#pragma once

#include <cstdint>

namespace Consensus {

/// Returns a random number that tells one life of a log store from all others; never 0, which stands for "no
/// incarnation".
std::uint64_t makeIncarnation();

} // namespace Consensus
