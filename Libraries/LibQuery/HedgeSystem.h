#pragma once

#include "LibQuery/Dispatcher.h"
#include "LibQuery/Tables.h"

#include <optional>

namespace Query {

/// Time after which an unanswered attempt of this query is hedged; nothing while too little is known.
std::optional<Base::Duration> hedgeDelay(Tables &tables, const QueryRow &query);

/// Sends a second attempt on shards that are later than usual, within the class's budget.
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
    void abandon(Base::Instant now, QueryRow &query, std::size_t shardIndex);
    void postpone(Base::Instant now, QueryRow &query, ShardRow &row);

    Tables &tables_;
    Dispatcher &dispatcher_;
};

} // namespace Query
