#pragma once

#include "LibConfiguration/Document.h"
#include "LibQuery/ServerTable.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Query {

/// One shard of a shard map with its replicas as rows of ServerTable.
struct MappedShard
{
    std::string name;
    std::vector<ServerKey> replicas;
};

/// The shards of every index of one revision; each query is pinned to one map.
class ShardMap
{
public:
    ShardMap(std::uint64_t revision, std::shared_ptr<const Configuration::Document> document,
             ServerTable &servers);

    std::uint64_t revision() const { return revision_; }
    const Configuration::Document &document() const { return *document_; }
    /// Returns the shards of an index in document order, or nothing when there is no such index.
    const std::vector<MappedShard> *findShards(std::string_view index) const;

private:
    std::uint64_t revision_;
    std::shared_ptr<const Configuration::Document> document_;
    std::unordered_map<std::string, std::vector<MappedShard>> shardsByIndex_;
};

} // namespace Query
