#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibConfiguration/Document.h"
#include "LibQuery/Action.h"
#include "LibQuery/CallerQuery.h"
#include "LibQuery/Statistics.h"
#include "LibWire/ClaimMessages.h"
#include "LibWire/Directory.h"
#include "LibWire/SubrequestMessages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Query {

struct QueryCoreOptions
{
    std::string entryId; ///< Own entry id; part of every attempt id.
    std::uint64_t incarnation = 0; ///< Differs between runs of the same entry id.
    std::uint64_t seed = 0; ///< For the random choice between equal replicas.
};

/// Coordinates queries: admission, planning, replica choice, hedges, retries, merge, completion and
/// non-idempotent requests. Performs no I/O, reads no clock and is not thread-safe; `now` must not decrease.
/// After every event the driver drains takeActions() and schedules tick() for nextWake().
class QueryCore
{
public:
    explicit QueryCore(QueryCoreOptions options);
    ~QueryCore();
    QueryCore(const QueryCore &) = delete;
    QueryCore &operator=(const QueryCore &) = delete;

    /// A caller's query; refusals are emitted as CompleteQuery in the same call.
    void acceptQuery(Base::Instant now, CallerQuery query);
    /// The caller closed its connection. An idempotent query is cancelled; a non-idempotent one continues so
    /// that its outcome is recorded. No CompleteQuery follows.
    void callerGone(Base::Instant now, CallerToken token);

    /// The owner replied to ExecuteSubrequest.
    void subrequestReplied(Base::Instant now, const Wire::ExecuteSubrequestReply &reply);
    /// The call to the owner failed: PeerUnreachable (nothing was sent), PeerReplyLost or MalformedMessage.
    void subrequestFailed(Base::Instant now, std::string_view attemptId, const Base::Error &error);

    /// The owner's reply to ObserveBackends; the local owner reports under its own entry id.
    void serversObserved(Base::Instant now, std::string_view ownerEntryId,
                         std::span<const Wire::ServerObservation> servers);

    /// A newer directory; an older version is ignored.
    void directoryChanged(Base::Instant now, const Wire::Directory &directory);
    /// A document came into force; a revision that is not higher than the current one is ignored. Queries in
    /// flight keep the document that they were planned with.
    void documentInForce(Base::Instant now, std::uint64_t revision,
                         std::shared_ptr<const Configuration::Document> document);
    /// The lease is valid until this instant; nothing is sent after it.
    void leaseExtended(Base::Instant now, Base::Instant validUntil);

    void claimReplied(Base::Instant now, QueryId queryId, const Wire::ClaimRequestReply &reply);
    /// The claim has no reply. PeerUnreachable, NotLeader and ControlUnavailable mean that the leader did not
    /// receive it; every other kind leaves open whether it was committed.
    void claimFailed(Base::Instant now, QueryId queryId, const Base::Error &error);

    void outcomeReplied(Base::Instant now, QueryId queryId, const Wire::RecordOutcomeReply &reply);
    void outcomeFailed(Base::Instant now, QueryId queryId, const Base::Error &error);

    /// New queries are refused from now on; those in flight finish.
    void shutdownStarted(Base::Instant now);
    /// True while a query is open or a recorded outcome is awaited.
    bool busy() const;

    /// Runs everything that is due: hedges, latency targets, deadlines, retries.
    void tick(Base::Instant now);
    /// When tick() is next needed; nothing while no query is open.
    std::optional<Base::Instant> nextWake() const;

    /// Returns the actions since the last call, in order.
    std::vector<Action> takeActions();

    const Statistics &statistics() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace Query
