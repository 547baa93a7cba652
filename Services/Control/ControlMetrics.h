#pragma once

#include "LibConsensus/RaftNode.h"
#include "LibControl/ControlCore.h"
#include "LibMetrics/Registry.h"
#include "LibPeer/TrafficCounters.h"

#include <string>

namespace Services {

/// Metrics of a control process. text() is thread-safe; update() runs on the decision thread.
class ControlMetrics
{
public:
    void update(const Consensus::RaftStatus &raft, const Control::ControlCore &core,
                const Peer::TrafficCounters &traffic);
    std::string text() const { return registry_.prometheusText(); }

private:
    Metrics::Registry registry_;
};

} // namespace Services
