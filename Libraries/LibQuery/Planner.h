#pragma once

#include "LibQuery/Dispatcher.h"
#include "LibQuery/Tables.h"

#include <span>

namespace Query {

/// Pins a query to one revision and one index version and sends the first attempts.
class Planner
{
public:
    Planner(Tables &tables, Dispatcher &dispatcher)
        : tables_(tables)
        , dispatcher_(dispatcher)
    {
    }

    /// Plans a query on the current shard map. A shard without a server for the version is lacking at once,
    /// unless one of its replicas is expected to recover.
    void plan(Base::Instant now, QueryRow &query);
    /// Plans the query again, once, when another version would cover more shards than the pinned one can.
    /// All replies so far are dropped. Returns whether the query was planned again.
    bool replan(Base::Instant now, QueryRow &query);

    /// Schedules a retry when a replica is recovering and the deadline allows, else marks the shard lacking.
    void waitOrGiveUp(Base::Instant now, QueryRow &query, ShardRow &row);

private:
    std::span<const MappedShard> shardsOf(const ShardMap &map, const QueryRow &query) const;
    std::size_t countCoverableShards(Base::Instant now, const QueryRow &query) const;
    void startShard(Base::Instant now, QueryRow &query, std::size_t shardIndex,
                    std::optional<Base::Duration> hedgeDelay);

    Tables &tables_;
    Dispatcher &dispatcher_;
};

} // namespace Query
