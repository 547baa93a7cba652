#pragma once

#include "LibBase/Time.h"
#include "LoadGenerator/QueryKind.h"

#include <cstdint>
#include <vector>

namespace Load {

/// One query with the moment at which it must be sent, whatever happened to the ones before it.
struct Arrival
{
    Base::Duration offset {}; ///< From the start of the run.
    std::size_t kind = 0; ///< Position in the mix.
    std::uint64_t sequence = 0;
};

/// Draws `count` Poisson arrivals at `ratePerSecond` from a seed.
std::vector<Arrival> drawArrivals(const std::vector<QueryKind> &mix, double ratePerSecond,
                                  std::uint64_t count, std::uint64_t seed);

} // namespace Load
