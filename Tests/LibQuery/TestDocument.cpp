#include "LibQuery/TestDocument.h"

TestDocument::TestDocument(const DocumentShape &shape)
    : shape_(shape)
    , document_(std::make_shared<Configuration::Document>())
{
    using Configuration::CompletionPolicy;
    const auto target = Base::milliseconds(50);
    document_->classes = {
        {"steady", CompletionPolicy::Coverage, shape.deadline, {}, shape.budget, 0.95, shape.maxQueries},
        {"quick", CompletionPolicy::Latency, shape.deadline, target, shape.budget, 0.95, shape.maxQueries}};
    document_->tenants = {{"north", 1}, {"south", 1}};
    auto &index = document_->indexes.emplace_back();
    index.name = "books";
    index.slotsPerServer = shape.slots;
    directory_.version = shape.revision;
    for (std::uint32_t number = 0; number < shape.shards; ++number) {
        auto &shard = index.shards.emplace_back();
        shard.name = "s" + std::to_string(number);
        for (std::uint32_t replica = 0; replica < shape.replicas; ++replica) {
            const auto serverId = shard.name + static_cast<char>('a' + replica);
            shard.serverIds.push_back(serverId);
            index.servers.push_back({serverId, "", "", false});
            directory_.shares.push_back({serverId, "e" + std::to_string(replica + 1), 1});
        }
    }
}

void TestDocument::install(Base::Instant now, Query::QueryCore &core) const
{
    core.documentInForce(now, shape_.revision, document_);
    core.directoryChanged(now, directory_);
    core.leaseExtended(now, now + Base::seconds(1000000));
}

void TestDocument::observe(Base::Instant now, Query::QueryCore &core,
                           const std::vector<std::uint64_t> &versions) const
{
    for (const auto &share : directory_.shares)
        observe(now, core, healthy(share.serverId, versions));
}

void TestDocument::observe(Base::Instant now, Query::QueryCore &core,
                           const Wire::ServerObservation &observation) const
{
    for (const auto &share : directory_.shares) {
        if (share.serverId == observation.serverId)
            core.serversObserved(now, share.entryId, {&observation, 1});
    }
}

Wire::ServerObservation TestDocument::healthy(const std::string &serverId,
                                              const std::vector<std::uint64_t> &versions) const
{
    Wire::ServerObservation observation;
    observation.serverId = serverId;
    observation.versions = versions;
    observation.reachable = true;
    observation.slots = shape_.slots;
    return observation;
}

Query::CallerQuery makeQuery(Query::CallerToken token, const std::string &trafficClass)
{
    Query::CallerQuery query;
    query.token = token;
    query.requestId = "q" + std::to_string(token);
    query.index = "books";
    query.trafficClass = trafficClass;
    query.tenant = "north";
    query.body = "find";
    return query;
}
