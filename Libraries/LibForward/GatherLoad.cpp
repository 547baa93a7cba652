#include "LibForward/GatherLoad.h"

#include <algorithm>

namespace Forward {

namespace {

/// Processor time on a whole core to send one attempt and read its reply, including the proportional cost of
/// connections and extra attempts.
constexpr double PartProcessorMs = 0.06;
/// Size of a part on the wire, including headers.
constexpr double PartKilobits = 4.0;
/// Fraction of the latency target; the rest is left for the backend servers and the network to the caller.
constexpr double MaxGatherLoad = 0.55;

} // namespace

double gatherLoad(const Route::Configuration &configuration, const VmCapacity &capacity)
{
    std::size_t widest = 0;
    Base::Duration target {};
    for (const auto &route : configuration.routes) {
        if (!route.gather || route.gather->shards.size() < widest)
            continue;
        // Among equally wide gathers the longest target counts; the others are at worst answered late.
        const bool wider = route.gather->shards.size() > widest;
        target = wider ? route.latencyTarget : std::max(target, route.latencyTarget);
        widest = route.gather->shards.size();
    }
    if (widest == 0)
        return 0.0;
    const double partMs = PartProcessorMs / capacity.processorShare + PartKilobits / capacity.linkMegabits;
    return static_cast<double>(widest) * partMs / std::max(1.0, Base::toMilliseconds(target));
}

bool suitsGathers(const Route::Configuration &configuration, const VmCapacity &capacity)
{
    return gatherLoad(configuration, capacity) <= MaxGatherLoad;
}

} // namespace Forward
