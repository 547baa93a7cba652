#pragma once

#include "LibQuery/Dispatcher.h"
#include "LibQuery/Planner.h"
#include "LibQuery/Tables.h"

namespace Query {

/// Handles failed attempts: tries another replica, waits, plans the query again, or marks the shard lacking.
class RetrySystem
{
public:
    RetrySystem(Tables &tables, Dispatcher &dispatcher, Planner &planner)
        : tables_(tables)
        , dispatcher_(dispatcher)
        , planner_(planner)
    {
    }

    /// Handles the failure of an attempt that has been closed.
    void attemptFailed(Base::Instant now, QueryRow &query, const AttemptRow &attempt, Base::ErrorKind kind,
                       Base::RunState run);
    /// Sends the retries of the query that are due.
    void run(Base::Instant now, QueryRow &query);

private:
    void retryOrGiveUp(Base::Instant now, QueryRow &query, std::size_t shardIndex);
    void retryAfter(Base::Instant now, QueryRow &query, ShardRow &row, Base::Duration wait);
    bool hasUsableReplica(Base::Instant now, const QueryRow &query, const ShardRow &row) const;

    Tables &tables_;
    Dispatcher &dispatcher_;
    Planner &planner_;
};

} // namespace Query
