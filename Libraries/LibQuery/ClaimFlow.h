#pragma once

#include "LibQuery/Completer.h"
#include "LibQuery/Planner.h"
#include "LibQuery/Tables.h"

namespace Query {

/// Handles a non-idempotent request: claim it in the control log, run at most one attempt that may take
/// effect, record its outcome, reply to the caller.
class ClaimFlow
{
public:
    ClaimFlow(Tables &tables, Planner &planner, Completer &completer)
        : tables_(tables)
        , planner_(planner)
        , completer_(completer)
    {
    }

    /// Returns why the request is refused when another one with the same id is open in this process.
    std::optional<Base::Error> conflict(const CallerQuery &caller) const;
    /// Sends the claim. Nothing is dispatched before it is granted.
    void start(Base::Instant now, QueryRow &query);
    void claimReplied(Base::Instant now, QueryRow &query, const Wire::ClaimRequestReply &reply);
    void claimFailed(Base::Instant now, QueryRow &query, const Base::Error &error);
    /// The shard of the request is covered or lacking: records the outcome, or releases the claim when the
    /// request is known not to have run.
    void shardFinished(Base::Instant now, QueryRow &query);
    /// The record or release call ended; `recorded` is false when the control log refused it or did not
    /// reply.
    void recordFinished(Base::Instant now, QueryRow &query, bool recorded);
    /// Answers the caller at its deadline; the request continues until its outcome is recorded.
    void deadlinePassed(QueryRow &query);

private:
    void claimGranted(Base::Instant now, QueryRow &query);
    void refuse(Base::Instant now, QueryRow &query, Base::ErrorKind kind);
    void releaseClaim(Base::Instant now, QueryRow &query, Completion ifReleased, Completion ifNotReleased);
    void sendRecord(Base::Instant now, QueryRow &query, bool notRun, Wire::OutcomeRecord outcome);

    Tables &tables_;
    Planner &planner_;
    Completer &completer_;
};

} // namespace Query
