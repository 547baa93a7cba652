#include "LibQuery/ShardMap.h"

#include <utility>

namespace Query {

ShardMap::ShardMap(std::uint64_t revision, std::shared_ptr<const Configuration::Document> document,
                   ServerTable &servers)
    : revision_(revision)
    , document_(std::move(document))
{
    for (const auto &index : document_->indexes) {
        auto &shards = shardsByIndex_[index.name];
        for (const auto &shard : index.shards) {
            auto &mapped = shards.emplace_back();
            mapped.name = shard.name;
            for (const auto &serverId : shard.serverIds)
                mapped.replicas.push_back(servers.intern(serverId));
        }
    }
}

const std::vector<MappedShard> *ShardMap::findShards(std::string_view index) const
{
    const auto entry = shardsByIndex_.find(std::string(index));
    return entry == shardsByIndex_.end() ? nullptr : &entry->second;
}

} // namespace Query
