#include "LibQuery/HedgeSystem.h"

#include <algorithm>

namespace Query {

namespace {

/// A hedge that could not be sent is tried again after the hedge delay divided by this.
constexpr int PostponeDivisor = 16;
/// Limit per shard and plan.
constexpr std::uint32_t MaxHedges = 3;
/// An attempt with an open hedge is cancelled after this many hedge delays to free its slot.
constexpr int StragglerDelayFactor = 2;
constexpr Base::Duration MinPostponement = Base::milliseconds(1);

} // namespace

std::optional<Base::Duration> hedgeDelay(Tables &tables, const QueryRow &query)
{
    if (!query.caller.idempotent)
        return std::nullopt;
    // A lower quantile hedges more attempts than the budget covers and spends it on those about to be
    // answered.
    const auto &trafficClass = *query.trafficClass;
    const double budgetFraction = tables.hedgeWinRateByClass[query.caller.trafficClass].budgetFraction();
    const auto quantile =
        std::max(trafficClass.hedgeQuantile, 1.0 - budgetFraction * trafficClass.extraLoadBudget);
    return tables.latencyByIndex[query.caller.index].quantile(quantile);
}

void HedgeSystem::run(Base::Instant now, QueryRow &query)
{
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        const auto &row = query.shards[index];
        const bool waiting = row.state == ShardState::Pending && row.openAttempts.size() == 1;
        if (waiting && row.hedges < MaxHedges && row.hedgeAt && *row.hedgeAt <= now)
            hedge(now, query, index);
        cancelStraggler(now, query, index);
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
    request.excluded = row.triedServers;
    request.typicalLatency = query.typicalLatency;
    request.allowProbe = false;
    request.allowLastResort = false;
    const auto server = tables_.chooser.choose(now, request);
    if (!server || !tables_.leaseValid(now))
        return postpone(now, query, row);

    // An overdue attempt is expected to take at least as long again.
    const auto predicted = tables_.servers.predictedHedgeResponseTime(*server, query.typicalLatency, elapsed);
    if (predicted >= elapsed || now + predicted >= query.deadline)
        return postpone(now, query, row);
    if (!tables_.budgetByClass[query.caller.trafficClass].take()) {
        ++tables_.statistics.budgetDenials;
        return postpone(now, query, row);
    }
    ++row.hedges;
    ++tables_.statistics.hedges;
    const auto sentAt = open->sentAt;
    dispatcher_.send(now, query, shardIndex, *server, AttemptKind::Hedge);
    tables_.timers.schedule(sentAt + *hedgeDelay(tables_, query) * StragglerDelayFactor, query.id);
}

void HedgeSystem::cancelStraggler(Base::Instant now, QueryRow &query, std::size_t shardIndex)
{
    auto &row = query.shards[shardIndex];
    if (row.state != ShardState::Pending || row.openAttempts.size() < 2)
        return;
    const auto key = row.openAttempts.front();
    const auto original = *tables_.attempts.find(key);
    const auto delay = hedgeDelay(tables_, query);
    if (!delay || !original.overdue || now - original.sentAt < *delay * StragglerDelayFactor)
        return;
    dispatcher_.cancelStraggler(now, query, key);
    // The hedge can be a straggler too. The next hedge excludes only the hedge's server, so that it can go
    // to the first replica again.
    const auto *hedge = tables_.attempts.find(row.openAttempts.front());
    row.triedServers = {hedge->server};
    row.hedgeAt = std::max(now, hedge->sentAt + *delay);
    tables_.timers.schedule(*row.hedgeAt, query.id);
}

void HedgeSystem::postpone(Base::Instant now, QueryRow &query, ShardRow &row)
{
    const auto delay = hedgeDelay(tables_, query).value_or(MinPostponement);
    row.hedgeAt = now + std::max(delay / PostponeDivisor, MinPostponement);
    if (*row.hedgeAt < query.deadline)
        tables_.timers.schedule(*row.hedgeAt, query.id);
}

} // namespace Query
