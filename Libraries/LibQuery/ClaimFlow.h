#pragma once

#include "LibQuery/Completer.h"
#include "LibQuery/Planner.h"
#include "LibQuery/Tables.h"

namespace Query {

/// Steps of a non-idempotent request: claim, one attempt, recorded outcome, reply to the caller.
class ClaimFlow
{
public:
    ClaimFlow(Tables &tables, Planner &planner, Completer &completer)
        : tables_(tables)
        , planner_(planner)
        , completer_(completer)
    {
    }

    /// Returns why the request cannot be taken while another one with its id is open here.
    std::optional<Base::Error> conflict(const CallerQuery &caller) const;
    /// Sends the claim. Nothing is dispatched before it is granted.
    void start(Base::Instant now, QueryRow &query);
    void claimReplied(Base::Instant now, QueryRow &query, const Wire::ClaimRequestReply &reply);
    void claimFailed(Base::Instant now, QueryRow &query, const Base::Error &error);
    /// The shard of the request is covered or lacking: records the outcome, or releases the claim when the
    /// request is proven not run.
    void resolved(Base::Instant now, QueryRow &query);
    /// The control log confirmed the record or the release, or did not.
    void confirmed(Base::Instant now, QueryRow &query, bool recorded);
    /// Answers the caller at its deadline; the request goes on until its outcome is recorded.
    void deadlinePassed(QueryRow &query);

private:
    void granted(Base::Instant now, QueryRow &query);
    void refuse(Base::Instant now, QueryRow &query, Base::ErrorKind kind);
    void release(Base::Instant now, QueryRow &query, Completion released, Completion otherwise);
    void sendRecord(Base::Instant now, QueryRow &query, bool notRun, Wire::OutcomeRecord outcome);

    Tables &tables_;
    Planner &planner_;
    Completer &completer_;
};

} // namespace Query
