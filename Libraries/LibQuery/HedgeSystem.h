#pragma once

#include "LibQuery/Dispatcher.h"
#include "LibQuery/Tables.h"

#include <optional>

namespace Query {

/// Returns the time after which an unanswered attempt is hedged, or nothing for a non-idempotent query or
/// while there are too few latency samples.
std::optional<Base::Duration> hedgeDelay(Tables &tables, const QueryRow &query);

/// Sends a second attempt on shards whose reply exceeds the hedge delay, within the class's budget.
class HedgeSystem
{
public:
    HedgeSystem(Tables &tables, Dispatcher &dispatcher)
        : tables_(tables)
        , dispatcher_(dispatcher)
    {
    }

    /// Sends the hedges of the query that are due.
    void run(Base::Instant now, QueryRow &query);

private:
    void hedge(Base::Instant now, QueryRow &query, std::size_t shardIndex);
    void cancelStraggler(Base::Instant now, QueryRow &query, std::size_t shardIndex);
    void postpone(Base::Instant now, QueryRow &query, ShardRow &row);

    Tables &tables_;
    Dispatcher &dispatcher_;
};

} // namespace Query
