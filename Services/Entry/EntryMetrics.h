#pragma once

#include "LibMetrics/Registry.h"
#include "LibQuery/Answer.h"
#include "LibQuery/Statistics.h"
#include "LibWire/SubrequestMessages.h"

#include <memory>
#include <string>

namespace Services {

/// Names and labels of the metrics of an entry process.
class EntryMetrics
{
public:
    explicit EntryMetrics(std::shared_ptr<Metrics::Registry> registry)
        : registry_(std::move(registry))
    {
    }

    /// Counts a query that ended, with its latency and coverage.
    void queryEnded(const std::string &trafficClass, const std::string &tenant, Base::Duration latency,
                    const Query::Completion &completion);

    /// Records queue wait and service time of an attempt that this process ran as owner.
    void attemptEnded(const std::string &serverId, const Wire::ExecuteSubrequestReply &reply);

    /// Takes over the coordinator's counters.
    void update(const Query::Statistics &statistics);

    /// Sets gauges about the owned servers and the process.
    void update(const Wire::ServerObservation &observation);
    void updateProcess(Base::Duration leaseLeft, std::uint64_t revision, std::size_t ownedServers);

private:
    std::shared_ptr<Metrics::Registry> registry_;
};

} // namespace Services
