#include "LibQuery/QueryCore.h"

#include "LibQuery/AdmissionController.h"
#include "LibQuery/ClaimFlow.h"
#include "LibQuery/Completer.h"
#include "LibQuery/CompletionStrategy.h"
#include "LibQuery/Dispatcher.h"
#include "LibQuery/HedgeSystem.h"
#include "LibQuery/Planner.h"
#include "LibQuery/RetrySystem.h"
#include "LibQuery/Tables.h"

#include <algorithm>
#include <utility>

namespace Query {

namespace {

/// A sub-request queued for longer than the query's time limit divided by this counts as overload.
constexpr int OverloadQueueDivisor = 4;

bool indicatesOverload(Base::ErrorKind kind)
{
    return kind == Base::ErrorKind::BackendShedding || kind == Base::ErrorKind::Overloaded
           || kind == Base::ErrorKind::DeadlineExceeded;
}

} // namespace

/// The tables and the systems that run over them.
class QueryCore::State
{
public:
    explicit State(QueryCoreOptions options)
        : tables_(std::move(options))
        , dispatcher_(tables_)
        , planner_(tables_, dispatcher_)
        , completer_(tables_, dispatcher_)
        , claims_(tables_, planner_, completer_)
        , admission_(tables_, claims_)
        , hedges_(tables_, dispatcher_)
        , retries_(tables_, dispatcher_, planner_)
    {
    }

    Tables &tables() { return tables_; }
    ClaimFlow &claims() { return claims_; }

    void accept(Base::Instant now, CallerQuery caller);
    void callerGone(Base::Instant now, CallerToken token);
    void handleReply(Base::Instant now, const Wire::ExecuteSubrequestReply &reply);
    void handleFailure(Base::Instant now, std::string_view attemptId, const Base::Error &error);
    void handleTimer(Base::Instant now, QueryRow &query);
    /// Ends the query when its completion is due.
    void completeIfDue(Base::Instant now, QueryRow &query);
    /// Returns an open query, or null.
    QueryRow *find(QueryId queryId);
    void eraseFinished();

private:
    QueryRow &openQuery(Base::Instant now, CallerQuery caller);
    std::optional<AttemptRow> closeAttempt(std::string_view attemptId);
    void handleResult(Base::Instant now, QueryRow &query, const AttemptRow &attempt,
                      const Wire::ExecuteSubrequestReply &reply);
    void handleErrorReply(Base::Instant now, QueryRow &query, const AttemptRow &attempt,
                          const Wire::ExecuteSubrequestReply &reply);

    Tables tables_;
    Dispatcher dispatcher_;
    Planner planner_;
    Completer completer_;
    ClaimFlow claims_;
    AdmissionController admission_;
    HedgeSystem hedges_;
    RetrySystem retries_;
};

void QueryCore::State::accept(Base::Instant now, CallerQuery caller)
{
    if (auto refused = admission_.admit(now, caller))
        return completer_.refuse(caller, std::move(*refused));
    ++tables_.statistics.admitted;
    auto &query = openQuery(now, std::move(caller));
    tables_.timers.schedule(query.deadline, query.id);
    if (!query.caller.idempotent)
        return claims_.start(now, query);
    const auto &strategy = completionStrategy(query.trafficClass->policy);
    if (const auto cutoff = strategy.cutoff(query))
        tables_.timers.schedule(*cutoff, query.id);
    planner_.plan(now, query);
    completeIfDue(now, query);
}

QueryRow &QueryCore::State::openQuery(Base::Instant now, CallerQuery caller)
{
    const auto id = ++tables_.lastQueryId;
    auto &query = tables_.queries[id];
    query.id = id;
    query.caller = std::move(caller);
    query.map = tables_.map;
    query.admissionMap = tables_.map;
    query.trafficClass = query.admissionMap->document().findClass(query.caller.trafficClass);
    query.acceptedAt = now;
    const auto allowed = query.trafficClass->deadline;
    query.deadline = now + std::min(query.caller.deadline.value_or(allowed), allowed);
    tables_.queryByToken[query.caller.token] = id;
    return query;
}

void QueryCore::State::callerGone(Base::Instant now, CallerToken token)
{
    const auto entry = tables_.queryByToken.find(token);
    if (entry == tables_.queryByToken.end())
        return;
    auto &query = tables_.queries.at(entry->second);
    query.callerWaiting = false;
    tables_.queryByToken.erase(entry);
    if (query.caller.idempotent)
        completer_.finish(now, query);
}

std::optional<AttemptRow> QueryCore::State::closeAttempt(std::string_view attemptId)
{
    const auto key = tables_.attempts.parseId(attemptId);
    auto attempt = key ? dispatcher_.closeAttempt(*key) : std::nullopt;
    if (!attempt)
        ++tables_.statistics.droppedReplies;
    return attempt;
}

void QueryCore::State::handleReply(Base::Instant now, const Wire::ExecuteSubrequestReply &reply)
{
    const auto attempt = closeAttempt(reply.attemptId);
    if (!attempt)
        return;
    auto &query = tables_.queries.at(attempt->queryId);
    if (reply.observation.serverId == tables_.servers.row(attempt->server).serverId)
        tables_.servers.observe(now, attempt->ownerEntryId, reply.observation);
    const auto queued = Base::Duration(reply.queueMicroseconds);
    if (queued > (query.deadline - query.acceptedAt) / OverloadQueueDivisor)
        query.overloadSeen = true;
    if (reply.ok)
        handleResult(now, query, *attempt, reply);
    else
        handleErrorReply(now, query, *attempt, reply);
    completeIfDue(now, query);
}

void QueryCore::State::handleResult(Base::Instant now, QueryRow &query, const AttemptRow &attempt,
                                    const Wire::ExecuteSubrequestReply &reply)
{
    const auto elapsed = now - attempt.sentAt;
    const auto queued = std::clamp(Base::Duration(reply.queueMicroseconds), Base::Duration {}, elapsed);
    tables_.servers.recordReply(attempt.server, elapsed - queued);
    tables_.latencyByIndex[query.caller.index].add(elapsed - queued);
    auto &row = query.shards[attempt.shardIndex];
    if (reply.indexVersion != query.indexVersion)
        return retries_.attemptFailed(now, query, attempt, Base::ErrorKind::VersionMismatch,
                                      Base::RunState::Run);
    if (!isRenderable(reply.body))
        return retries_.attemptFailed(now, query, attempt, Base::ErrorKind::BackendFailed,
                                      Base::RunState::Run);
    if (row.state != ShardState::Pending)
        return;
    query.markCovered(row, reply.body);
    if (attempt.kind == AttemptKind::Hedge) {
        ++tables_.statistics.hedgesWon;
        tables_.hedgeWinRateByClass[query.caller.trafficClass].record(true);
    }
    dispatcher_.cancelLosers(now, query, row, attempt);
}

void QueryCore::State::handleErrorReply(Base::Instant now, QueryRow &query, const AttemptRow &attempt,
                                        const Wire::ExecuteSubrequestReply &reply)
{
    const auto kind = Wire::fromMessage(reply.error).kind;
    if (reply.notRun && indicatesOverload(kind))
        query.overloadSeen = true;
    const bool serverFault = !reply.notRun || kind == Base::ErrorKind::BackendUnreachable;
    if (serverFault)
        tables_.statistics.ejections += tables_.servers.recordFailure(now, attempt.server) ? 1 : 0;
    retries_.attemptFailed(now, query, attempt, kind,
                           reply.notRun ? Base::RunState::NotRun : Base::RunState::MayHaveRun);
}

void QueryCore::State::handleFailure(Base::Instant now, std::string_view attemptId, const Base::Error &error)
{
    const auto attempt = closeAttempt(attemptId);
    if (!attempt)
        return;
    auto &query = tables_.queries.at(attempt->queryId);
    tables_.statistics.ejections += tables_.servers.recordFailure(now, attempt->server) ? 1 : 0;
    const bool unsent = error.kind == Base::ErrorKind::PeerUnreachable;
    retries_.attemptFailed(now, query, *attempt, error.kind,
                           unsent ? Base::RunState::NotRun : Base::RunState::MayHaveRun);
    completeIfDue(now, query);
}

void QueryCore::State::handleTimer(Base::Instant now, QueryRow &query)
{
    if (query.stage == QueryStage::Running && now < query.deadline) {
        retries_.run(now, query);
        hedges_.run(now, query);
    }
    completeIfDue(now, query);
}

void QueryCore::State::completeIfDue(Base::Instant now, QueryRow &query)
{
    if (!query.caller.idempotent) {
        const bool waiting = std::any_of(query.shards.begin(), query.shards.end(),
                                         [](const ShardRow &row) { return !row.openAttempts.empty(); });
        const bool over = query.pendingCount == 0 || (now >= query.deadline && !waiting);
        if (query.stage == QueryStage::Running && over)
            claims_.shardFinished(now, query);
        if (query.stage != QueryStage::Done && now >= query.deadline)
            claims_.deadlinePassed(query);
        return;
    }
    if (query.stage != QueryStage::Running)
        return;
    if (!completionStrategy(query.trafficClass->policy).isDue(now, query))
        return;
    completer_.reply(query, completer_.summarize(query));
    completer_.finish(now, query);
}

QueryRow *QueryCore::State::find(QueryId queryId)
{
    const auto entry = tables_.queries.find(queryId);
    const bool open = entry != tables_.queries.end() && entry->second.stage != QueryStage::Done;
    return open ? &entry->second : nullptr;
}

void QueryCore::State::eraseFinished()
{
    for (const auto queryId : tables_.finishedQueries)
        tables_.queries.erase(queryId);
    tables_.finishedQueries.clear();
}

QueryCore::QueryCore(QueryCoreOptions options)
    : state_(std::make_unique<State>(std::move(options)))
{
}

QueryCore::~QueryCore() = default;

void QueryCore::acceptQuery(Base::Instant now, CallerQuery query)
{
    state_->accept(now, std::move(query));
    state_->eraseFinished();
}

void QueryCore::callerGone(Base::Instant now, CallerToken token)
{
    state_->callerGone(now, token);
    state_->eraseFinished();
}

void QueryCore::subrequestReplied(Base::Instant now, const Wire::ExecuteSubrequestReply &reply)
{
    state_->handleReply(now, reply);
    state_->eraseFinished();
}

void QueryCore::subrequestFailed(Base::Instant now, std::string_view attemptId, const Base::Error &error)
{
    state_->handleFailure(now, attemptId, error);
    state_->eraseFinished();
}

void QueryCore::serversObserved(Base::Instant now, std::string_view ownerEntryId,
                                std::span<const Wire::ServerObservation> servers)
{
    for (const auto &observation : servers)
        state_->tables().servers.observe(now, ownerEntryId, observation);
}

void QueryCore::directoryChanged(Base::Instant now, const Wire::Directory &directory)
{
    auto &tables = state_->tables();
    if (directory.version < tables.directoryVersion)
        return;
    tables.directoryVersion = directory.version;
    tables.peerAddresses.clear();
    for (const auto &entry : directory.entries)
        tables.peerAddresses[entry.entryId] = entry.peerAddress;
    tables.servers.assignShares(now, directory.shares);
}

void QueryCore::documentInForce(Base::Instant, std::uint64_t revision,
                                std::shared_ptr<const Configuration::Document> document)
{
    auto &tables = state_->tables();
    if (tables.map && revision <= tables.map->revision())
        return;
    for (const auto &index : document->indexes) {
        for (const auto &server : index.servers)
            tables.servers.row(tables.servers.intern(server.id)).leaving = server.leaving;
    }
    tables.map = std::make_shared<const ShardMap>(revision, std::move(document), tables.servers);
}

void QueryCore::leaseExtended(Base::Instant, Base::Instant validUntil)
{
    state_->tables().leaseValidUntil = validUntil;
}

void QueryCore::claimReplied(Base::Instant now, QueryId queryId, const Wire::ClaimRequestReply &reply)
{
    auto *query = state_->find(queryId);
    if (query == nullptr || query->stage != QueryStage::Claiming)
        return;
    state_->claims().claimReplied(now, *query, reply);
    state_->completeIfDue(now, *query);
    state_->eraseFinished();
}

void QueryCore::claimFailed(Base::Instant now, QueryId queryId, const Base::Error &error)
{
    auto *query = state_->find(queryId);
    if (query == nullptr || query->stage != QueryStage::Claiming)
        return;
    state_->claims().claimFailed(now, *query, error);
    state_->eraseFinished();
}

void QueryCore::outcomeReplied(Base::Instant now, QueryId queryId, const Wire::RecordOutcomeReply &reply)
{
    if (auto *query = state_->find(queryId))
        state_->claims().recordFinished(now, *query, reply.recorded);
    state_->eraseFinished();
}

void QueryCore::outcomeFailed(Base::Instant now, QueryId queryId, const Base::Error &)
{
    if (auto *query = state_->find(queryId))
        state_->claims().recordFinished(now, *query, false);
    state_->eraseFinished();
}

void QueryCore::shutdownStarted(Base::Instant)
{
    state_->tables().shuttingDown = true;
}

bool QueryCore::busy() const
{
    return !state_->tables().queries.empty();
}

void QueryCore::tick(Base::Instant now)
{
    while (const auto queryId = state_->tables().timers.popDue(now)) {
        if (auto *query = state_->find(*queryId))
            state_->handleTimer(now, *query);
    }
    state_->eraseFinished();
}

std::optional<Base::Instant> QueryCore::nextWake() const
{
    return state_->tables().timers.next();
}

std::vector<Action> QueryCore::takeActions()
{
    return std::exchange(state_->tables().actions, {});
}

const Statistics &QueryCore::statistics() const
{
    return state_->tables().statistics;
}

} // namespace Query
