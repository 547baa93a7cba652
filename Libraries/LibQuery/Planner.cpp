#include "LibQuery/Planner.h"

#include "LibQuery/HedgeSystem.h"
#include "LibQuery/VersionChooser.h"

#include <algorithm>
#include <map>

namespace Query {

std::span<const MappedShard> Planner::shardsOf(const ShardMap &map, const QueryRow &query) const
{
    const auto *shards = map.findShards(query.caller.index);
    if (shards == nullptr)
        return {};
    if (query.caller.idempotent)
        return *shards;
    const auto found = std::find_if(shards->begin(), shards->end(), [&](const MappedShard &shard) {
        return shard.name == query.caller.shard;
    });
    return found == shards->end() ? std::span<const MappedShard>() : std::span(&*found, 1);
}

void Planner::plan(Base::Instant now, QueryRow &query)
{
    query.map = tables_.map;
    const auto shards = shardsOf(*query.map, query);
    query.indexVersion = chooseVersion(now, tables_.servers, shards).version;
    query.shards.clear();
    query.shards.resize(shards.size());
    query.pendingCount = shards.size();
    query.coveredCount = 0;
    query.typicalLatency = tables_.typicalLatency(query.caller.index);
    const auto delay = hedgeDelay(tables_, query);
    for (std::size_t index = 0; index < shards.size(); ++index) {
        query.shards[index].shard = &shards[index];
        startShard(now, query, index, delay);
    }
}

void Planner::startShard(Base::Instant now, QueryRow &query, std::size_t shardIndex,
                         std::optional<Base::Duration> hedgeDelay)
{
    auto &row = query.shards[shardIndex];
    ReplicaRequest request;
    request.shard = row.shard;
    request.version = query.indexVersion;
    request.typicalLatency = query.typicalLatency;
    request.allowProbe = query.caller.idempotent;
    const auto server = tables_.chooser.choose(now, request);
    if (!server) {
        const bool otherVersion =
            std::any_of(row.shard->replicas.begin(), row.shard->replicas.end(), [&](ServerKey key) {
                return tables_.servers.eligibility(now, key) != Eligibility::Unusable;
            });
        row.lastError =
            otherVersion ? Base::ErrorKind::VersionNotOffered : Base::ErrorKind::NoEligibleReplica;
        waitOrGiveUp(now, query, row);
        return;
    }
    if (hedgeDelay && query.caller.idempotent && row.shard->replicas.size() > 1) {
        row.hedgeAt = now + *hedgeDelay + tables_.servers.predictedQueueTime(*server, query.typicalLatency);
        tables_.timers.schedule(*row.hedgeAt, query.id);
    }
    dispatcher_.send(now, query, shardIndex, *server, AttemptKind::First);
    ++tables_.statistics.firstAttempts;
    tables_.budgetByClass[query.caller.trafficClass].earn(query.trafficClass->extraLoadBudget);
}

void Planner::waitOrGiveUp(Base::Instant now, QueryRow &query, ShardRow &row)
{
    if (now + RecoveryPollInterval >= query.deadline || !isRecovering(now, tables_.servers, *row.shard))
        return query.markLacking(row);
    row.retryAt = now + RecoveryPollInterval;
    tables_.timers.schedule(*row.retryAt, query.id);
}

bool Planner::replan(Base::Instant now, QueryRow &query)
{
    if (query.replanned || !query.caller.idempotent || !tables_.leaseValid(now))
        return false;
    if (now + query.typicalLatency >= query.deadline)
        return false;
    const auto choice = chooseVersion(now, tables_.servers, shardsOf(*tables_.map, query));
    if (choice.version == query.indexVersion || choice.shardCount <= countCoverableShards(now, query))
        return false;

    query.replanned = true;
    ++tables_.statistics.replans;
    dispatcher_.cancelAll(query);
    std::map<std::string, Base::RunState> earlier;
    for (const auto &row : query.shards)
        earlier[row.shard->name] = row.state == ShardState::Covered ? Base::RunState::Run : row.worstRunState;
    plan(now, query);
    for (auto &row : query.shards) {
        if (const auto entry = earlier.find(row.shard->name); entry != earlier.end())
            row.previousPlanRunState = entry->second;
    }
    return true;
}

std::size_t Planner::countCoverableShards(Base::Instant now, const QueryRow &query) const
{
    const auto count = std::count_if(query.shards.begin(), query.shards.end(), [&](const ShardRow &row) {
        if (row.state == ShardState::Covered || !row.openAttempts.empty())
            return true;
        return offersVersion(now, tables_.servers, *row.shard, query.indexVersion);
    });
    return static_cast<std::size_t>(count);
}

} // namespace Query
