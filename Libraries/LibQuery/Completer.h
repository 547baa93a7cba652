#pragma once

#include "LibQuery/Dispatcher.h"
#include "LibQuery/Tables.h"

namespace Query {

/// Builds completions and ends queries.
class Completer
{
public:
    Completer(Tables &tables, Dispatcher &dispatcher)
        : tables_(tables)
        , dispatcher_(dispatcher)
    {
    }

    /// Refuses a query that was not admitted.
    void refuse(const CallerQuery &caller, Base::Error error);
    /// Returns what the shard rows amount to now; moves the bodies out of them. Without a covered shard this
    /// is a failure, since an answer without results is easily taken for an empty result.
    Completion summarize(QueryRow &query);
    /// Gives the caller its completion, unless it has one or is gone.
    void reply(QueryRow &query, Completion completion);
    /// Ends the query: cancels open attempts, frees its admission and marks the row for erasure.
    void finish(Base::Instant now, QueryRow &query);

private:
    void count(const Completion &completion);

    Tables &tables_;
    Dispatcher &dispatcher_;
};

} // namespace Query
