#include "LibQuery/Dispatcher.h"

#include <utility>

namespace Query {

namespace {

/// The call to the owner times out this long after the query's deadline; the owner replies by the deadline.
constexpr Base::Duration CallTimeoutMargin = Base::milliseconds(50);
/// Longer for a non-idempotent request, since a late reply still carries its outcome.
constexpr Base::Duration OutcomeTimeoutMargin = Base::seconds(5);

} // namespace

void Dispatcher::send(Base::Instant now, QueryRow &query, std::size_t shardIndex, ServerKey server,
                      AttemptKind kind)
{
    auto &row = query.shards[shardIndex];
    const auto &target = tables_.servers.row(server);
    const auto key =
        tables_.attempts.add({query.id, shardIndex, server, target.ownerEntryId, now, kind, false});
    row.openAttempts.push_back(key);
    row.triedServers.push_back(server);
    tables_.servers.attemptStarted(now, server);

    SendSubrequest action;
    action.ownerEntryId = target.ownerEntryId;
    action.peerAddress = tables_.peerAddresses[target.ownerEntryId];
    action.timeout =
        query.deadline - now + (query.caller.idempotent ? CallTimeoutMargin : OutcomeTimeoutMargin);
    auto &request = action.request;
    request.requestId = query.caller.requestId;
    request.attemptId = tables_.attempts.formatId(key);
    request.serverId = target.serverId;
    request.shareEpoch = target.shareEpoch;
    request.index = query.caller.index;
    request.shard = row.shard->name;
    request.indexVersion = query.indexVersion;
    request.revision = query.map->revision();
    request.trafficClass = query.caller.trafficClass;
    request.tenant = query.caller.tenant;
    request.idempotent = query.caller.idempotent;
    request.budgetMicroseconds = (query.deadline - now).count();
    request.body = query.caller.body;
    tables_.actions.emplace_back(std::move(action));
}

std::optional<AttemptRow> Dispatcher::closeAttempt(AttemptKey key)
{
    const auto *found = tables_.attempts.find(key);
    if (found == nullptr)
        return std::nullopt;
    auto attempt = *found;
    tables_.attempts.erase(key);
    tables_.servers.attemptEnded(attempt.server, attempt.overdue);
    std::erase(tables_.queries.at(attempt.queryId).shards[attempt.shardIndex].openAttempts, key);
    return attempt;
}

void Dispatcher::cancelLosers(Base::Instant now, QueryRow &query, ShardRow &row, const AttemptRow &winner)
{
    while (!row.openAttempts.empty()) {
        const auto key = row.openAttempts.back();
        const auto &loser = *tables_.attempts.find(key);
        if (loser.kind == AttemptKind::Hedge)
            tables_.hedgeWinRateByClass[query.caller.trafficClass].record(false);
        if (loser.sentAt < winner.sentAt)
            cancelStraggler(now, query, key);
        else
            cancel(key);
    }
}

void Dispatcher::cancelStraggler(Base::Instant now, QueryRow &query, AttemptKey key)
{
    const auto attempt = *tables_.attempts.find(key);
    query.shards[attempt.shardIndex].raiseRunState(Base::RunState::MayHaveRun);
    tables_.servers.addLatencySample(attempt.server, now - attempt.sentAt);
    tables_.latencyByIndex[query.caller.index].add(now - attempt.sentAt);
    tables_.statistics.ejections += tables_.servers.recordFailure(now, attempt.server) ? 1 : 0;
    cancel(key);
}

void Dispatcher::cancelAll(QueryRow &query)
{
    for (auto &row : query.shards) {
        while (!row.openAttempts.empty()) {
            row.raiseRunState(Base::RunState::MayHaveRun);
            cancel(row.openAttempts.back());
        }
    }
}

void Dispatcher::cancel(AttemptKey key)
{
    const auto attempt = closeAttempt(key);
    ++tables_.statistics.cancellations;
    tables_.actions.emplace_back(CancelSubrequest {attempt->ownerEntryId, tables_.attempts.formatId(key)});
}

} // namespace Query
