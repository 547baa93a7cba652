#include "LoadGenerator/ArrivalSchedule.h"

#include <random>

namespace Load {

std::vector<Arrival> drawArrivals(const std::vector<QueryKind> &mix, double ratePerSecond,
                                  std::uint64_t count, std::uint64_t seed)
{
    std::vector<double> weights;
    weights.reserve(mix.size());
    for (const auto &kind : mix)
        weights.push_back(kind.weight);
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(ratePerSecond);
    std::discrete_distribution<std::size_t> kind(weights.begin(), weights.end());
    std::vector<Arrival> arrivals;
    arrivals.reserve(count);
    std::chrono::duration<double> offset {};
    for (std::uint64_t sequence = 0; sequence < count; ++sequence) {
        offset += std::chrono::duration<double>(gap(random));
        arrivals.push_back({std::chrono::duration_cast<Base::Duration>(offset), kind(random), sequence});
    }
    return arrivals;
}

} // namespace Load
