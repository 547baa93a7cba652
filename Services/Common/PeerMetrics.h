#pragma once

#include "LibMetrics/Registry.h"
#include "LibPeer/TrafficCounters.h"

namespace Services {

/// Takes over the totals of the traffic between processes, by method and direction.
void updatePeerMetrics(Metrics::Registry &registry, const Peer::TrafficCounters &traffic);

} // namespace Services
