#include "LibQuery/VersionChooser.h"

#include <algorithm>
#include <vector>

namespace Query {

namespace {

struct VersionCount
{
    std::uint64_t version = 0;
    std::uint32_t shardCount = 0;
    const MappedShard *lastShard = nullptr;
};

/// Counts `shard` for `version`, at most once.
void countShard(std::vector<VersionCount> &counts, std::uint64_t version, const MappedShard &shard)
{
    auto entry = std::find_if(counts.begin(), counts.end(),
                              [&](const VersionCount &count) { return count.version == version; });
    if (entry == counts.end())
        entry = counts.insert(counts.end(), VersionCount {version, 0, nullptr});
    if (entry->lastShard == &shard)
        return;
    entry->lastShard = &shard;
    ++entry->shardCount;
}

} // namespace

VersionChoice chooseVersion(Base::Instant now, const ServerTable &servers,
                            std::span<const MappedShard> shards)
{
    std::vector<VersionCount> counts;
    for (const auto &shard : shards) {
        for (const auto key : shard.replicas) {
            if (servers.eligibility(now, key) == Eligibility::Unusable)
                continue;
            for (const auto version : servers.row(key).observation->versions)
                countShard(counts, version, shard);
        }
    }
    VersionChoice best;
    for (const auto &count : counts) {
        const bool more = count.shardCount > best.shardCount;
        const bool newer = count.shardCount == best.shardCount && count.version > best.version;
        if (more || newer)
            best = {count.version, count.shardCount};
    }
    return best;
}

bool isRecovering(Base::Instant now, const ServerTable &servers, const MappedShard &shard)
{
    return std::any_of(shard.replicas.begin(), shard.replicas.end(),
                       [&](ServerKey key) { return servers.isRecovering(now, key); });
}

bool offersVersion(Base::Instant now, const ServerTable &servers, const MappedShard &shard,
                   std::uint64_t version)
{
    return std::any_of(shard.replicas.begin(), shard.replicas.end(), [&](ServerKey key) {
        return servers.eligibility(now, key) != Eligibility::Unusable && servers.row(key).offers(version);
    });
}

} // namespace Query
