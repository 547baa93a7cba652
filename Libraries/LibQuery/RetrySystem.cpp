#include "LibQuery/RetrySystem.h"

#include "LibQuery/VersionChooser.h"

namespace Query {

namespace {

/// Attempts known not to have run cost no backend work, but each costs messages.
constexpr std::uint32_t MaxFreeRetries = 6;
constexpr std::uint32_t MaxChargedRetries = 2;

/// Wait before servers already tried are tried again; doubled with each retry.
constexpr Base::Duration InitialBackoff = Base::milliseconds(2);
/// Wait for first attempts of other queries to refill the budget.
constexpr Base::Duration BudgetRetryInterval = Base::milliseconds(10);

bool isVersionError(Base::ErrorKind kind)
{
    return kind == Base::ErrorKind::VersionNotOffered || kind == Base::ErrorKind::VersionMismatch;
}

} // namespace

void RetrySystem::attemptFailed(Base::Instant now, QueryRow &query, const AttemptRow &attempt,
                                Base::ErrorKind kind, Base::RunState run)
{
    auto &row = query.shards[attempt.shardIndex];
    row.lastError = kind;
    row.raiseRunState(run);
    if (isVersionError(kind))
        tables_.servers.withdrawVersion(attempt.server, query.indexVersion);
    if (row.state != ShardState::Pending || !row.openAttempts.empty())
        return;
    const bool versionGone = !offersVersion(now, tables_.servers, *row.shard, query.indexVersion);
    if (versionGone && planner_.replan(now, query))
        return;
    retryOrGiveUp(now, query, attempt.shardIndex);
}

void RetrySystem::run(Base::Instant now, QueryRow &query)
{
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        auto &row = query.shards[index];
        if (row.state != ShardState::Pending || !row.retryAt || *row.retryAt > now)
            continue;
        row.retryAt.reset();
        // The version may have been pinned before its servers were observed.
        if (!hasUsableReplica(now, query, row) && planner_.replan(now, query))
            return;
        retryOrGiveUp(now, query, index);
    }
}

void RetrySystem::retryOrGiveUp(Base::Instant now, QueryRow &query, std::size_t shardIndex)
{
    auto &row = query.shards[shardIndex];
    // A retry is free only while no attempt on the shard may have run.
    const bool free = row.worstRunState == Base::RunState::NotRun;
    const bool attemptsLeft =
        free ? row.freeRetries < MaxFreeRetries : row.chargedRetries < MaxChargedRetries;
    const bool allowed = free || query.caller.idempotent;
    if (!attemptsLeft || !allowed || !tables_.leaseValid(now))
        return query.markLacking(row);
    if (!hasUsableReplica(now, query, row))
        return planner_.waitOrGiveUp(now, query, row);

    ReplicaRequest request;
    request.shard = row.shard;
    request.version = query.indexVersion;
    request.excluded = row.triedServers;
    request.typicalLatency = query.typicalLatency;
    request.allowProbe = query.caller.idempotent;
    const auto server = tables_.chooser.choose(now, request);
    if (!server) {
        const auto earlierRetries = row.freeRetries + row.chargedRetries;
        row.triedServers.clear();
        return retryAfter(now, query, row, InitialBackoff * (1U << earlierRetries));
    }
    if (now + tables_.servers.predictedResponseTime(*server, request.typicalLatency) >= query.deadline)
        return query.markLacking(row);
    if (!free && !tables_.budgetByClass[query.caller.trafficClass].take()) {
        ++tables_.statistics.budgetDenials;
        return retryAfter(now, query, row, BudgetRetryInterval);
    }
    ++(free ? row.freeRetries : row.chargedRetries);
    ++(free ? tables_.statistics.freeRetries : tables_.statistics.retries);
    dispatcher_.send(now, query, shardIndex, *server, free ? AttemptKind::FreeRetry : AttemptKind::Retry);
}

void RetrySystem::retryAfter(Base::Instant now, QueryRow &query, ShardRow &row, Base::Duration wait)
{
    if (now + wait >= query.deadline)
        return query.markLacking(row);
    row.retryAt = now + wait;
    tables_.timers.schedule(*row.retryAt, query.id);
}

bool RetrySystem::hasUsableReplica(Base::Instant now, const QueryRow &query, const ShardRow &row) const
{
    return offersVersion(now, tables_.servers, *row.shard, query.indexVersion);
}

} // namespace Query
