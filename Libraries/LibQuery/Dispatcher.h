#pragma once

#include "LibQuery/Tables.h"

#include <optional>

namespace Query {

/// Sends, cancels and closes attempts, and keeps the attempt and server tables consistent.
class Dispatcher
{
public:
    explicit Dispatcher(Tables &tables)
        : tables_(tables)
    {
    }

    /// Sends one attempt. The caller has checked lease, deadline and budget.
    void send(Base::Instant now, QueryRow &query, std::size_t shardIndex, ServerKey server, AttemptKind kind);
    /// Removes an attempt that has ended and returns it, or nothing when it is not open.
    std::optional<AttemptRow> closeAttempt(AttemptKey key);
    /// Cancels the remaining attempts of a covered shard; those sent before the winner are treated as
    /// stragglers.
    void cancelLosers(Base::Instant now, QueryRow &query, ShardRow &row, const AttemptRow &winner);
    /// Cancels one attempt without a timely reply and counts it as a failure and a latency sample of its
    /// server.
    void cancelStraggler(Base::Instant now, QueryRow &query, AttemptKey key);
    /// Cancels all attempts of a query; they count as possibly run.
    void cancelAll(QueryRow &query);

private:
    void cancel(AttemptKey key);

    Tables &tables_;
};

} // namespace Query
