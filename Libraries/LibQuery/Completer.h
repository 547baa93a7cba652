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
    /// Builds the completion from the shard rows and moves the bodies out of them. It is a failure when no
    /// shard is covered, since callers could mistake an answer without results for an empty result.
    Completion summarize(QueryRow &query);
    /// Replies to the caller, unless it already has a reply or has disconnected.
    void reply(QueryRow &query, Completion completion);
    /// Ends the query: cancels open attempts, releases its admission and marks the row for erasure.
    void finish(Base::Instant now, QueryRow &query);

private:
    void count(const Completion &completion);

    Tables &tables_;
    Dispatcher &dispatcher_;
};

} // namespace Query
