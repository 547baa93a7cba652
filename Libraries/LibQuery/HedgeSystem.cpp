#include "LibQuery/HedgeSystem.h"

#include <algorithm>

namespace Query {

namespace {

/// A hedge that could not be sent is considered again after this part of the hedge delay.
constexpr int PostponeDivisor = 4;
constexpr Base::Duration MinPostponement = Base::milliseconds(1);

} // namespace

std::optional<Base::Duration> hedgeDelay(Tables &tables, const QueryRow &query)
{
    if (!query.caller.idempotent)
        return std::nullopt;
    // Hedging earlier than the budget can pay for spends it on attempts that are about to be answered.
    const auto &trafficClass = *query.trafficClass;
    const auto quantile = std::max(trafficClass.hedgeQuantile, 1.0 - trafficClass.extraLoadBudget);
    return tables.latencyByIndex[query.caller.index].quantile(quantile);
}

void HedgeSystem::run(Base::Instant now, QueryRow &query)
{
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        const auto &row = query.shards[index];
        const bool waiting = row.state == ShardState::Pending && row.openAttempts.size() == 1;
        if (waiting && !row.hedged && row.hedgeAt && *row.hedgeAt <= now)
            hedge(now, query, index);
    }
}

void HedgeSystem::hedge(Base::Instant now, QueryRow &query, std::size_t shardIndex)
{
    auto &row = query.shards[shardIndex];
    auto *open = tables_.attempts.find(row.openAttempts.front());
    if (!open->overdue)
        tables_.servers.attemptOverdue(open->server);
    open->overdue = true;
    const auto elapsed = now - open->sentAt;
    ReplicaRequest request;
    request.shard = row.shard;
    request.version = query.indexVersion;
    request.excluded = row.tried;
    request.typical = query.typicalLatency;
    request.allowProbe = false;
    request.allowLastResort = false;
    const auto server = tables_.chooser.choose(now, request);
    if (!server || !tables_.leaseValid(now))
        return postpone(now, query, row);

    // An attempt that is late already is expected to take at least as long again.
    const auto predicted = tables_.servers.predictedHedge(*server, query.typicalLatency);
    if (predicted >= elapsed || now + predicted >= query.deadline)
        return postpone(now, query, row);
    if (!tables_.budgetByClass[query.caller.trafficClass].take()) {
        ++tables_.statistics.budgetDenials;
        return postpone(now, query, row);
    }
    row.hedged = true;
    ++tables_.statistics.hedges;
    dispatcher_.send(now, query, shardIndex, *server, AttemptKind::Hedge);
}

void HedgeSystem::postpone(Base::Instant now, QueryRow &query, ShardRow &row)
{
    const auto delay = hedgeDelay(tables_, query).value_or(MinPostponement);
    row.hedgeAt = now + std::max(delay / PostponeDivisor, MinPostponement);
    if (*row.hedgeAt < query.deadline)
        tables_.timers.schedule(*row.hedgeAt, query.id);
}

} // namespace Query
