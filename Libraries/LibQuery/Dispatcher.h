#pragma once

#include "LibQuery/Tables.h"

#include <optional>

namespace Query {

/// Sends, cancels and settles attempts, and keeps the attempt and server tables in step.
class Dispatcher
{
public:
    explicit Dispatcher(Tables &tables)
        : tables_(tables)
    {
    }

    /// Sends one attempt. The caller has checked lease, deadline and budget.
    void send(Base::Instant now, QueryRow &query, std::size_t shardIndex, ServerKey server, AttemptKind kind);
    /// Removes an attempt that has ended and returns it; nothing when it is not open.
    std::optional<AttemptRow> settle(AttemptKey key);
    /// Cancels the attempts of a shard that is covered, and takes the silence of slower ones as a hint.
    void cancelLosers(Base::Instant now, QueryRow &query, ShardRow &row, const AttemptRow &winner);
    /// Cancels one attempt that is much later than usual, and takes its silence as a hint.
    void abandon(Base::Instant now, QueryRow &query, AttemptKey key);
    /// Cancels all attempts of a query; they count as maybe run.
    void cancelAll(QueryRow &query);

private:
    void cancel(AttemptKey key);

    Tables &tables_;
};

} // namespace Query
