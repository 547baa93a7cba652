#pragma once

#include "LibBase/RandomSource.h"
#include "LibQuery/ServerTable.h"
#include "LibQuery/ShardMap.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Query {

/// Constraints on the choice of a replica.
struct ReplicaRequest
{
    const MappedShard *shard = nullptr;
    std::uint64_t version = 0;
    std::span<const ServerKey> excluded; ///< Servers already tried.
    Base::Duration typicalLatency {}; ///< Latency assumed for a server without an estimate.
    bool allowProbe = true; ///< Prefer an ejected server that is due for a probe.
    bool allowLastResort = true;
};

/// Chooses the replica with the shortest predicted response time. Reported load decides only between replicas
/// whose predictions are nearly equal.
class ReplicaChooser
{
public:
    ReplicaChooser(const ServerTable &servers, std::uint64_t seed)
        : servers_(servers)
        , random_(seed)
    {
    }

    std::optional<ServerKey> choose(Base::Instant now, const ReplicaRequest &request);

private:
    struct Candidate
    {
        ServerKey key = 0;
        double cost = 0.0;
    };

    ServerKey cheapest(std::vector<Candidate> &candidates);
    double cost(ServerKey key, Base::Duration typicalLatency) const;

    const ServerTable &servers_;
    Base::RandomSource random_;
};

} // namespace Query
