#include "LibQuery/RetrySystem.h"

#include "LibQuery/VersionChooser.h"

namespace Query {

namespace {

/// Attempts that are proven not run cost no backend work, but each costs messages.
constexpr std::uint32_t MaxFreeRetries = 6;
constexpr std::uint32_t MaxChargedRetries = 2;

/// Wait before a server that refused is asked again, doubled with each retry.
constexpr Base::Duration FirstBackoff = Base::milliseconds(2);
/// Wait for other queries to earn budget.
constexpr Base::Duration BudgetWait = Base::milliseconds(10);

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
    row.worsen(run);
    if (isVersionError(kind))
        tables_.servers.withdrawVersion(attempt.server, query.indexVersion);
    if (row.state != ShardState::Pending || !row.openAttempts.empty())
        return;
    const bool versionGone = !offersVersion(now, tables_.servers, *row.shard, query.indexVersion);
    if (versionGone && planner_.replan(now, query))
        return;
    decide(now, query, attempt.shardIndex);
}

void RetrySystem::run(Base::Instant now, QueryRow &query)
{
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        auto &row = query.shards[index];
        if (row.state != ShardState::Pending || !row.retryAt || *row.retryAt > now)
            continue;
        row.retryAt.reset();
        // The version may have been pinned before its servers were observed.
        if (!usableReplica(now, query, row) && planner_.replan(now, query))
            return;
        decide(now, query, index);
    }
}

void RetrySystem::decide(Base::Instant now, QueryRow &query, std::size_t shardIndex)
{
    auto &row = query.shards[shardIndex];
    // A retry is free only while no backend server may have worked on the shard.
    const bool free = row.worst == Base::RunState::NotRun;
    const bool attemptsLeft =
        free ? row.freeRetries < MaxFreeRetries : row.chargedRetries < MaxChargedRetries;
    const bool allowed = free || query.caller.idempotent;
    if (!attemptsLeft || !allowed || !tables_.leaseValid(now))
        return query.giveUp(row);
    if (!usableReplica(now, query, row))
        return planner_.waitOrGiveUp(now, query, row);

    ReplicaRequest request;
    request.shard = row.shard;
    request.version = query.indexVersion;
    request.excluded = row.tried;
    request.typical = query.typicalLatency;
    request.allowProbe = query.caller.idempotent;
    const auto server = tables_.chooser.choose(now, request);
    if (!server) {
        const auto rounds = row.freeRetries + row.chargedRetries;
        row.tried.clear();
        return retryAfter(now, query, row, FirstBackoff * (1U << rounds));
    }
    if (now + tables_.servers.predictedAnswer(*server, request.typical) >= query.deadline)
        return query.giveUp(row);
    if (!free && !tables_.budgetByClass[query.caller.trafficClass].take()) {
        ++tables_.statistics.budgetDenials;
        return retryAfter(now, query, row, BudgetWait);
    }
    ++(free ? row.freeRetries : row.chargedRetries);
    ++(free ? tables_.statistics.freeRetries : tables_.statistics.retries);
    dispatcher_.send(now, query, shardIndex, *server, free ? AttemptKind::FreeRetry : AttemptKind::Retry);
}

void RetrySystem::retryAfter(Base::Instant now, QueryRow &query, ShardRow &row, Base::Duration wait)
{
    if (now + wait >= query.deadline)
        return query.giveUp(row);
    row.retryAt = now + wait;
    tables_.timers.schedule(*row.retryAt, query.id);
}

bool RetrySystem::usableReplica(Base::Instant now, const QueryRow &query, const ShardRow &row) const
{
    return offersVersion(now, tables_.servers, *row.shard, query.indexVersion);
}

} // namespace Query
